package acceptor

import (
	"slices"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/restrictor"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// placeRule returns the rule for the attempts of the request of head. Every choice of a target obeys it. The regions are those
// of the time when the request was admitted, and the evacuations those that are in force at the attempt.
func placeRule(view *viewer.View, head forwarder.Head) restrictor.Rule {
	return restrictor.Rule{Regions: head.Regions, Evacuated: view.Configuration.Evacuated}
}

// allowedRegions returns the regions that the route of a request and its workspace allow. The key of a workspace binds the
// request to the workspace's regions also on an open route, which needs no key.
func allowedRegions(view *viewer.View, admission admission) restrictor.Regions {
	workspace := admission.workspace
	if admission.route.Open && admission.presentedKey != "" {
		workspace, _ = workspaceOf(view, admission.presentedKey)
	}
	return restrictor.Intersect(admission.route.Regions, workspace.Regions)
}

// checkPlaces refuses a request of route if the rule for its places leaves it no target. It is called before the request
// takes a token of its workspace's rate, and before any wait.
func (a *Acceptor) checkPlaces(view *viewer.View, route configurer.Route, regions restrictor.Regions) error {
	if !regions.Restricted() && !view.Configuration.AnyEvacuated() {
		return nil
	}
	rule := placeRule(view, forwarder.Head{Regions: regions})
	for _, service := range route.Services() {
		if slices.ContainsFunc(a.placements(view, service), rule.Allow) {
			return nil
		}
	}
	return refuser.Refuse(refuser.CapacityShort, "no target is in an allowed region and in service")
}

// placements returns the targets of service that this node may use.
func (a *Acceptor) placements(view *viewer.View, service string) []tracker.Placement {
	placements := view.Directory.Placements(service)
	if a.UseLostNodes {
		placements = append(slices.Clip(placements), view.Directory.Lost(service)...)
	}
	return placements
}
