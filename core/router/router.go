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
	// minSpillLoad is the load of a tier above which requests start to go to the next tier.
	minSpillLoad = 0.7
	// fullSpillLoad is the load of a tier from which on every request may go to the next tier.
	fullSpillLoad = 1.1
)

// Locality is where a node stands.
type Locality struct {
	Region string
	Centre string
}

// Request is what the choice depends on. Tried are the names of the targets of its earlier attempts.
type Request struct {
	Repeatable bool
	Tried      []string
	// LocalRegion keeps the request in the own region, if that has a target that is not ejected, were it one of Tried.
	LocalRegion bool
}

// Candidate is a target that a request may go to. Load is the number of its requests in flight from this node.
type Candidate struct {
	Placement tracker.Placement
	Load      int
	Report    Report
	Status    Status
}

// Choice is a chosen target, with the reason for the log. Trial says that it may well fail.
type Choice struct {
	Placement tracker.Placement
	Reason    string
	Trial     bool
}

// Router chooses among targets for requests that enter at one place. It is immutable.
type Router struct {
	locality     Locality
	regionalTier bool
	slowStart    time.Duration
}

// New returns the router for a node at place.
func New(place Locality) Router {
	return Router{locality: place, slowStart: SlowStart}
}

// Locality returns the place of the node that the router is for.
func (r Router) Locality() Locality { return r.locality }

// WithRegionalTier returns the router that counts the own region as one tier, in which targets of the own data centre are
// preferred while they are little loaded. It suits services with few targets in each data centre: a tier of two that
// both hang has no room, though its load shows that late.
func (r Router) WithRegionalTier() Router {
	r.regionalTier = true
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
	sorted := r.groupByTier(now, request, candidates)
	if trials := sorted.trials; trials.slots > random.Float64()*sorted.all.slots {
		return Choice{Placement: trials.pickWeighted(random).candidate.Placement, Reason: "on trial after an ejection", Trial: true}, nil
	}
	chosen, reason := r.chooseTier(random, sorted)
	if chosen < 0 {
		return Choice{}, refuser.Refuse(refuser.CapacityShort, "no usable target")
	}
	picked := sorted.tiers[chosen].pickLessLoaded(random)
	reason = fmt.Sprintf("%s at %.2f in flight per slot%s", r.tierName(chosen), picked.load(), reason)
	return Choice{Placement: picked.candidate.Placement, Reason: reason}, nil
}

// tieredCandidates are the usable candidates of a request by tier, those on trial apart. Near is set if the request must not go to
// another region.
type tieredCandidates struct {
	tiers       [tierCount]tier
	trials      tier
	all         tier
	localRegion bool
}

func (r Router) groupByTier(now time.Time, request Request, candidates []Candidate) tieredCandidates {
	var sorted tieredCandidates
	for _, candidate := range candidates {
		place := r.tierOf(candidate.Placement.Node)
		sorted.localRegion = sorted.localRegion || request.LocalRegion && place < remoteTier && candidate.inUse()
		weighed, ok := r.weigh(now, request, candidate)
		if !ok {
			continue
		}
		sorted.all = sorted.all.with(weighed)
		if _, trial := candidate.Status.(Trial); trial {
			sorted.trials = sorted.trials.with(weighed)
			continue
		}
		sorted.tiers[place] = sorted.tiers[place].with(weighed)
	}
	return sorted
}

// chooseTier returns the place of the tier to use and why it is not a nearer one, or -1 without a usable target.
func (r Router) chooseTier(random *rand.Rand, sorted tieredCandidates) (chosen int, reason string) {
	chosen = -1
	for place, next := range sorted.tiers {
		if len(next.candidates) == 0 || sorted.localRegion && place == remoteTier {
			continue
		}
		if chosen >= 0 {
			if !r.isLessLoaded(next, sorted.tiers[chosen]) {
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

func (r Router) weigh(now time.Time, request Request, candidate Candidate) (weightedCandidate, bool) {
	target := candidate.Placement.Target
	if target.Leaving || slices.Contains(request.Tried, target.Name) {
		return weightedCandidate{}, false
	}
	warmth := 0.0
	switch standing := candidate.Status.(type) {
	case Serving:
		warmth = standing.slotFraction(now, r.slowStart)
	case Trial:
		if !request.Repeatable {
			return weightedCandidate{}, false
		}
		warmth = trialSlotFraction
	case Ejected:
		return weightedCandidate{}, false
	}
	return weightedCandidate{
		penalty:   r.penalty(candidate.Placement.Node),
		candidate: candidate,
		slots:     warmth * float64(max(target.Slots, 1)),
		inFlight:  max(float64(candidate.Load), candidate.Report.inFlight(now)),
	}, true
}

func spills(random *rand.Rand, load float64) bool {
	return random.Float64() < (load-minSpillLoad)/(fullSpillLoad-minSpillLoad)
}
