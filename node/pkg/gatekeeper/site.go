package gatekeeper

import (
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/warmer"
)

// Site states what the configuration in force says about the VM of a gate.
type Site interface {
	// Ready reports whether enough of the configuration is known for targets to get requests.
	Ready() bool
	// Evacuated reports whether the targets of the VM must get no requests.
	Evacuated() bool
	// ColdLimit returns the limit of requests to a cold target of service.
	ColdLimit(service string) warmer.Limit
}

// siteState is what a gate knows of its site: whether the data centre is evacuated, when it returned last, and the limits of the
// targets while they are cold.
type siteState struct {
	site       Site
	evacuated  bool
	returnedAt time.Time
	cold       map[string]*coldState
}

// SetSite sets the site, which must be done before the first request. Without one, targets get requests always.
func (g *Gatekeeper) SetSite(site Site) {
	g.site = site
	g.UpdateSite()
}

// UpdateSite is called after a change of the configuration. Targets whose data centre has returned from an evacuation count as
// cold until they state that they are not.
func (g *Gatekeeper) UpdateSite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	evacuated := g.site.Evacuated()
	if g.evacuated == evacuated {
		return
	}
	g.evacuated = evacuated
	g.log.Info("evacuation of the data centre changed", "evacuated", evacuated)
	if evacuated {
		return
	}
	g.returnedAt = time.Now()
	for _, state := range g.cold {
		state.warmer = state.warmer.WithAbsence(g.returnedAt)
	}
}

// checkSite refuses a request while the targets of this VM must get none. The kind of the refusal is that of a target that
// leaves, after which an entry with an older view tries others free of charge.
func (g *Gatekeeper) checkSite() error {
	switch {
	case g.site == nil:
		return nil
	case !g.site.Ready():
		return refuser.Refuse(refuser.TargetUnknown, "the node has no configuration yet")
	case g.site.Evacuated():
		return refuser.Refuse(refuser.TargetUnknown, "the data centre is evacuated")
	}
	return nil
}

// checkTarget returns the target called name, and a refusal if it gets no requests now. waited must be called when the request
// has waited for its start, and may be called again.
func (g *Gatekeeper) checkTarget(name string) (target registrar.Announcement, waited func(), err error) {
	target, ok := g.targets.Announcement(name)
	if !ok || target.Leaving {
		return target, nil, refuser.Refuse(refuser.TargetUnknown, "the target is gone or leaving")
	}
	if err := g.checkSite(); err != nil {
		return target, nil, err
	}
	waited, err = g.checkCold(target)
	return target, waited, err
}
