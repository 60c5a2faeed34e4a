package acceptor

import (
	"samphiremount.example/core/router"
	"samphiremount.example/node/pkg/viewer"
)

func (a *Acceptor) choose(view *viewer.View, service string) (router.Choice, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var candidates []router.Candidate
	for _, placement := range view.Directory.Placements(service) {
		load := a.inFlight[placement.Target.Name]
		candidates = append(candidates, router.Candidate{Placement: placement, Load: load})
	}
	choice, err := a.Router.Choose(a.Random, candidates)
	if err == nil {
		a.inFlight[choice.Placement.Target.Name]++
	}
	return choice, err
}

func (a *Acceptor) leave(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight[target]--
	if a.inFlight[target] == 0 {
		delete(a.inFlight, target)
	}
}
