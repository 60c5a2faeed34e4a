package gatekeeper

import (
	"context"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/forwarder"
)

// start registers the start of the request. It refuses the request if the target has begun to leave, or if its data centre was
// evacuated, while the request waited.
func (g *Gatekeeper) start(ctx context.Context, target registrar.Announcement, head forwarder.Head) error {
	if err := g.checkCalls(time.Now(), head); err != nil {
		return err
	}
	if err := g.registerStart(ctx, head); err != nil {
		return err
	}
	err := g.checkSite()
	if err == nil && !g.takesRequests(target) {
		err = refuser.Refuse(refuser.TargetUnknown, "the target began to leave while the request waited")
	}
	if err == nil {
		err = g.takeCold(target)
	}
	if err != nil {
		g.registerFinish(head.AttemptID, false)
		return err
	}
	g.beginRun(head)
	return nil
}
