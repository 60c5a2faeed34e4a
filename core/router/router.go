// Package router chooses the target of a request.
package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tracker"
)

// Loads are in requests in flight per slot.
const (
	// spillFrom is the load of a tier above which requests start to go to the next tier.
	spillFrom = 0.7
	// spillAll is the load of a tier from which on every request may go to the next tier.
	spillAll = 1.1
)

// Place is where a node stands.
type Place struct {
	Region string
	Centre string
}

// Request is what the choice depends on. Tried are the names of the targets of its earlier attempts.
type Request struct {
	Repeatable bool
	Tried      []string
	// Near keeps the request in the own region, if that has a target that is not ejected, were it one of Tried.
	Near bool
}

// Candidate is a target that a request may go to. Load is the number of its requests in flight from this node.
type Candidate struct {
	Placement tracker.Placement
	Load      int
	Report    Report
	Standing  Standing
}

// Choice is a chosen target, with the reason for the log. Trial says that it may well fail.
type Choice struct {
	Placement tracker.Placement
	Reason    string
	Trial     bool
}

// Router chooses among targets for requests that enter at one place. It is immutable.
type Router struct {
	place     Place
	regional  bool
	slowStart time.Duration
}

// New returns the router for a node at place.
func New(place Place) Router {
	return Router{place: place, slowStart: SlowStart}
}

// Place returns the place of the node that the router is for.
func (r Router) Place() Place { return r.place }

// WithRegion returns the router that counts the own region as one tier, in which targets of the own data centre are
// preferred while they are little loaded. It suits services with few targets in each data centre: a tier of two that
// both hang has no room, though its load shows that late.
func (r Router) WithRegion() Router {
	r.regional = true
	return r
}

// WithSlowStart returns the router whose targets reach their full share that long after they joined or returned.
func (r Router) WithSlowStart(slowStart time.Duration) Router {
	r.slowStart = slowStart
	return r
}

// Choose picks one of candidates: the nearest tier (own data centre, own region, other region) that has a usable
// target and is not short of capacity, and within it the less loaded of two drawn from random (power of two choices,
// Mitzenmacher 2001). A target is usable unless it is leaving, ejected or was tried. One on trial gets a small share
// of the requests that are repeatable, from any tier.
//
// A tier is short when its requests in flight per slot exceed spillFrom. The share of requests that moves on to the
// next tier then grows linearly with the load, so that the division settles instead of swinging, and it moves on only
// to a tier that is less loaded. Choose returns a refusal of kind CapacityShort if no candidate is usable.
func (r Router) Choose(now time.Time, random *rand.Rand, request Request, candidates []Candidate) (Choice, error) {
	sorted := r.sort(now, request, candidates)
	if trials := sorted.trials; trials.slots > random.Float64()*sorted.all.slots {
		return Choice{Placement: trials.draw(random).candidate.Placement, Reason: "on trial after an ejection", Trial: true}, nil
	}
	chosen, reason := r.chooseTier(random, sorted)
	if chosen < 0 {
		return Choice{}, refuser.Refuse(refuser.CapacityShort, "no usable target")
	}
	picked := sorted.tiers[chosen].pick(random)
	reason = fmt.Sprintf("%s at %.2f in flight per slot%s", r.tierName(chosen), picked.load(), reason)
	return Choice{Placement: picked.candidate.Placement, Reason: reason}, nil
}

// usable are the usable candidates of a request by tier, those on trial apart. Near is set if the request must not go to
// another region.
type usable struct {
	tiers  [tierCount]tier
	trials tier
	all    tier
	near   bool
}

func (r Router) sort(now time.Time, request Request, candidates []Candidate) usable {
	var sorted usable
	for _, candidate := range candidates {
		place := r.tierOf(candidate.Placement.Node)
		sorted.near = sorted.near || request.Near && place < farTier && candidate.serves()
		weighed, ok := r.weigh(now, request, candidate)
		if !ok {
			continue
		}
		sorted.all = sorted.all.with(weighed)
		if _, trial := candidate.Standing.(Trial); trial {
			sorted.trials = sorted.trials.with(weighed)
			continue
		}
		sorted.tiers[place] = sorted.tiers[place].with(weighed)
	}
	return sorted
}

// chooseTier returns the place of the tier to use and why it is not a nearer one, or -1 without a usable target.
func (r Router) chooseTier(random *rand.Rand, sorted usable) (chosen int, reason string) {
	chosen = -1
	for place, next := range sorted.tiers {
		if len(next.usable) == 0 || sorted.near && place == farTier {
			continue
		}
		if chosen >= 0 {
			if !r.relieves(next, sorted.tiers[chosen]) {
				continue
			}
			reason = fmt.Sprintf(", since %s has %.2f of its slots in flight", r.tierName(chosen), sorted.tiers[chosen].load())
		}
		chosen = place
		if !spills(random, next.load()) {
			break
		}
	}
	return chosen, reason
}

func (r Router) weigh(now time.Time, request Request, candidate Candidate) (weighed, bool) {
	target := candidate.Placement.Target
	if target.Leaving || slices.Contains(request.Tried, target.Name) {
		return weighed{}, false
	}
	warmth := 0.0
	switch standing := candidate.Standing.(type) {
	case Serving:
		warmth = standing.warmth(now, r.slowStart)
	case Trial:
		if !request.Repeatable {
			return weighed{}, false
		}
		warmth = trialWarmth
	case Ejected:
		return weighed{}, false
	}
	return weighed{
		penalty:   r.penalty(candidate.Placement.Node),
		candidate: candidate,
		slots:     warmth * float64(max(target.Slots, 1)),
		inFlight:  max(float64(candidate.Load), candidate.Report.inFlight(now)),
	}, true
}

func spills(random *rand.Rand, load float64) bool {
	return random.Float64() < (load-spillFrom)/(spillAll-spillFrom)
}
