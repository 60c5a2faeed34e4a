package acceptor

import (
	"time"

	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

const (
	// suspectBackoff is how long a target is avoided after its gate refused a request because the target is suspect, even if
	// a newer verdict says that it has recovered.
	suspectBackoff = 300 * time.Millisecond
	// trialFraction is the fraction of the requests with a hedge that go to a suspect target, if a trial of one is due. All
	// entries know of it, so that it is small.
	trialFraction = 0.2
)

// chooseTrial picks a suspect target whose trial is due for a fraction of the requests with a hedge, to find out when it has
// recovered. Such a request is hedged early.
func (c *chooser) chooseTrial(now time.Time, view *viewer.View, head forwarder.Head, excluded []string) (router.Choice, bool) {
	if !head.Hedged || len(excluded) > 0 || c.random.Float64() >= trialFraction {
		return router.Choice{}, false
	}
	var suspects []tracker.Placement
	for _, placement := range placeRule(view, head).Filter(view.Directory.Placements(head.Service)) {
		verdict := c.gossip.Lookup(now, placement.Target.Name)
		due := verdict.State == gossiper.Suspect && !now.Before(verdict.TrialAt)
		usable := !placement.Target.Leaving && !c.isBarred(now, placement.Target)
		if due && usable && !c.isRemote(placement) && !c.paths[placement.Node.Name].Avoided(now) {
			suspects = append(suspects, placement)
		}
	}
	if len(suspects) == 0 {
		return router.Choice{}, false
	}
	placement := suspects[c.random.IntN(len(suspects))]
	c.inFlight[placement.Target.Name]++
	const reason = "trial of a suspect target"
	c.log.Info("target chosen", "request", head.AttemptID, "workspace", head.Workspace, "service", head.Service,
		"target", placement.Target.Name, "node", placement.Node.Name, "candidates", len(suspects), "reason", reason)
	return router.Choice{Placement: placement, Reason: reason, Trial: true}, true
}

// isSuspect reports whether the request of head must avoid the target called name: it is suspect, or the request needs a healthy
// target and it is doubtful. A suspect target whose trial is due is avoided only by requests with a hedge, of which chooseTrial
// sends some there, and by those that need a healthy target.
func (c *chooser) isSuspect(now time.Time, name string, head forwarder.Head) bool {
	if now.Before(c.suspectUntil[name]) {
		return true
	}
	switch verdict := c.gossip.Lookup(now, name); verdict.State {
	case gossiper.Suspect:
		return head.HealthyOnly || head.Hedged || now.Before(verdict.TrialAt)
	case gossiper.Doubtful:
		return head.HealthyOnly
	default:
		return false
	}
}
