// Package router chooses the target of a request by locality and load.
package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tracker"
)

// Loads are requests in flight per slot. Between the two limits, the share of requests that spill grows linearly.
const (
	// minSpillLoad is the load of a tier above which requests start to spill to the next tier.
	minSpillLoad = 0.7
	// fullSpillLoad is the load of a tier at and above which every request may spill to the next tier.
	fullSpillLoad = 1.1
)

// Locality is the region and the data centre of a node.
type Locality struct {
	Region string
	Centre string
}

// Request holds the properties of a request that the choice depends on. Tried lists the names of the targets of its
// earlier attempts.
type Request struct {
	Repeatable bool
	Tried      []string
	// LocalRegion keeps the request in the local region if any target there is in use, even one listed in Tried.
	LocalRegion bool
}

// Candidate is a target that a request may go to. Load is the number of requests from this node in flight to it.
type Candidate struct {
	Placement tracker.Placement
	Load      int
	Report    Report
	Status    Status
}

// Choice is a chosen target, with the reason for the log. Trial is set if the target is on trial after an ejection, so
// that the request is more likely to fail.
type Choice struct {
	Placement tracker.Placement
	Reason    string
	Trial     bool
}

// Router chooses targets for requests that enter at a node in one locality. It is immutable.
type Router struct {
	locality     Locality
	regionalTier bool
	slowStart    time.Duration
}

// New returns the router for a node in locality.
func New(locality Locality) Router {
	return Router{locality: locality, slowStart: SlowStart}
}

// Locality returns the locality of the node that the router is for.
func (r Router) Locality() Locality { return r.locality }

// WithRegionalTier returns a copy of the router that treats the local region as one tier. Within it, targets of the local
// data centre are preferred unless they are more loaded than others by more than a margin. This suits services with few
// targets in each data centre: if a tier has two targets and both hang, it has no free capacity, but its load shows
// this only after a delay.
func (r Router) WithRegionalTier() Router {
	r.regionalTier = true
	return r
}

// WithSlowStart returns a copy of the router with that slow start: the time in which a target that joins or returns
// reaches its full share of requests.
func (r Router) WithSlowStart(slowStart time.Duration) Router {
	r.slowStart = slowStart
	return r
}

// Choose picks one of candidates. It takes the nearest tier (local data centre, local region, remote region) that has a
// usable target and is not short of capacity, and in that tier the less loaded of two random targets (power of two
// choices, Mitzenmacher 2001). A target is usable unless it is leaving, ejected or already tried. A target on trial
// gets the first attempt of a repeatable request when it is due, whichever tier it is in, and any such request if no
// other target is usable.
//
// A tier is short of capacity when its load exceeds minSpillLoad. The share of requests that spill to the next tier
// then grows linearly with the load, so that the distribution settles instead of oscillating. Requests spill only to a
// tier that is less loaded. Choose returns a refusal of kind CapacityShort if no candidate is usable.
func (r Router) Choose(now time.Time, random *rand.Rand, request Request, candidates []Candidate) (Choice, error) {
	grouped := r.groupByTier(now, request, candidates)
	if len(grouped.due.candidates) > 0 && len(request.Tried) == 0 {
		return grouped.due.pickTrial(random), nil
	}
	chosen, reason := r.chooseTier(random, grouped)
	switch {
	case chosen < 0 && len(grouped.trials.candidates) > 0:
		return grouped.trials.pickTrial(random), nil
	case chosen < 0:
		return Choice{}, refuser.Refuse(refuser.CapacityShort, "no usable target")
	}
	picked := grouped.tiers[chosen].pickLessLoaded(random)
	reason = fmt.Sprintf("%s at %.2f in flight per slot%s", r.tierName(chosen), picked.load(), reason)
	return Choice{Placement: picked.candidate.Placement, Reason: reason}, nil
}

// tieredCandidates holds the usable candidates of a request. Those on trial are in trials, and if they are due also in
// due; the others are in tiers. localRegion is set if the request must not go to a remote region.
type tieredCandidates struct {
	tiers       [tierCount]tier
	trials      tier
	due         tier
	localRegion bool
}

func (r Router) groupByTier(now time.Time, request Request, candidates []Candidate) tieredCandidates {
	var grouped tieredCandidates
	for _, candidate := range candidates {
		tierIndex := r.tierOf(candidate.Placement.Node)
		grouped.localRegion = grouped.localRegion || request.LocalRegion && tierIndex < remoteTier && candidate.inUse()
		weighted, ok := r.weigh(now, request, candidate)
		if !ok {
			continue
		}
		if trial, ok := candidate.Status.(Trial); ok {
			grouped.trials = grouped.trials.with(weighted)
			if trial.Due {
				grouped.due = grouped.due.with(weighted)
			}
			continue
		}
		grouped.tiers[tierIndex] = grouped.tiers[tierIndex].with(weighted)
	}
	return grouped
}

// chooseTier returns the index of the tier to use, and the reason if a nearer tier was passed over. The index is -1 if
// no tier has a usable target.
func (r Router) chooseTier(random *rand.Rand, grouped tieredCandidates) (chosen int, reason string) {
	chosen = -1
	for tierIndex, next := range grouped.tiers {
		if len(next.candidates) == 0 || grouped.localRegion && tierIndex == remoteTier {
			continue
		}
		if chosen >= 0 {
			if !r.isLessLoaded(next, grouped.tiers[chosen]) {
				continue
			}
			reason = fmt.Sprintf(", since %s has %.2f in flight per slot", r.tierName(chosen), grouped.tiers[chosen].load())
		}
		chosen = tierIndex
		if !spills(random, next.load()) {
			break
		}
	}
	return chosen, reason
}

// weigh returns candidate with the slots and the load that count for request, or false if it is not usable.
func (r Router) weigh(now time.Time, request Request, candidate Candidate) (weightedCandidate, bool) {
	target := candidate.Placement.Target
	if target.Leaving || slices.Contains(request.Tried, target.Name) {
		return weightedCandidate{}, false
	}
	fraction := 0.0
	switch status := candidate.Status.(type) {
	case Serving:
		fraction = status.slotFraction(now, r.slowStart)
	case Trial:
		if !request.Repeatable {
			return weightedCandidate{}, false
		}
		fraction = 1
	case Ejected:
		return weightedCandidate{}, false
	}
	return weightedCandidate{
		penalty:   r.penalty(candidate.Placement.Node),
		candidate: candidate,
		slots:     fraction * float64(max(target.Slots, 1)),
		inFlight:  max(float64(candidate.Load), candidate.Report.inFlight(now)),
	}, true
}

// spills reports, at random, whether a request spills from a tier with the given load.
func spills(random *rand.Rand, load float64) bool {
	return random.Float64() < (load-minSpillLoad)/(fullSpillLoad-minSpillLoad)
}
