package acceptor

import (
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/viewer"
)

func (a *Acceptor) admit(view *viewer.View, admission admission, id string) error {
	if admission.route.Open {
		return nil
	}
	nodes := 0
	for _, node := range view.Directory.Nodes() {
		if !node.Gone {
			nodes++
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.Limiter.Draw(time.Now(), admission.workspace, max(nodes, 1)) {
		return refuser.Refuse(refuser.RateExceeded, "")
	}
	a.Admit.Info("request admitted", "request", id, "workspace", admission.workspace.Name)
	return nil
}
