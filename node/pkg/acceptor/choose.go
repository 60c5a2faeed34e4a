package acceptor

import (
	"samphiremount.example/core/router"
	"samphiremount.example/node/pkg/viewer"
)

// choose picks a target of service that is not among tried and counts the request against it until leave.
func (a *Acceptor) choose(view *viewer.View, service string, tried map[string]bool) (router.Choice, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var candidates []router.Candidate
	for _, placement := range view.Directory.Placements(service) {
		if tried[placement.Target.Name] {
			continue
		}
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
