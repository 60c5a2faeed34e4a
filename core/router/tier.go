package router

import (
	"math/rand/v2"

	"samphiremount.example/core/tracker"
)

const tierCount = 3

// remoteTier is that of the other region.
const remoteTier = tierCount - 1

var tierNames = [tierCount]string{"own data centre", "own region", "other region"}

func (r Router) tierName(place int) string {
	if r.regionalTier && place == 0 {
		place = 1
	}
	return tierNames[place]
}

func (r Router) tierOf(node tracker.Node) int {
	switch {
	case node.Region == r.locality.Region && (r.regionalTier || node.Centre == r.locality.Centre):
		return 0
	case node.Region == r.locality.Region:
		return 1
	default:
		return 2
	}
}

// inUse reports whether the target is in use, whether or not the request was sent there before.
func (c Candidate) inUse() bool {
	_, serving := c.Status.(Serving)
	return serving && !c.Placement.Target.Leaving
}

// weightedCandidate is a usable candidate. Slots are those that it may use now, fewer while it starts slowly.
// Penalty is added to its load in a comparison with others.
type weightedCandidate struct {
	candidate Candidate
	penalty   float64
	slots     float64
	inFlight  float64
}

func (w weightedCandidate) load() float64 {
	return w.inFlight / w.slots
}

const (
	// crossCentrePenalty is the load that a target of the own data centre may have more than one of another, where both
	// belong to one tier. Traffic between data centres of a region costs little.
	crossCentrePenalty = 0.2
	// lostNodePenalty is the load that a target on a node which control lost counts as having.
	lostNodePenalty = 0.5
)

func (r Router) penalty(node tracker.Node) float64 {
	penalty := 0.0
	if r.regionalTier && node.Centre != r.locality.Centre {
		penalty += crossCentrePenalty
	}
	if node.Gone {
		penalty += lostNodePenalty
	}
	return penalty
}

// remoteMargin is by how much less a tier must be loaded that is in another region, where the own region is one tier. Both
// regions being as loaded, requests would only change places.
const remoteMargin = 0.3

// isLessLoaded reports whether a request should go to the farther tier next, since near is short of capacity.
func (r Router) isLessLoaded(next, near tier) bool {
	if !r.regionalTier {
		return next.load() < near.load()
	}
	return next.load()+remoteMargin < near.load()
}

// tier is the set of usable candidates at one distance.
type tier struct {
	candidates []weightedCandidate
	slots      float64
	inFlight   float64
}

func (t tier) with(candidate weightedCandidate) tier {
	return tier{append(t.candidates, candidate), t.slots + candidate.slots, t.inFlight + candidate.inFlight}
}

func (t tier) load() float64 {
	return t.inFlight / t.slots
}

// pickLessLoaded draws two candidates by their slots and returns the less loaded one. Without load, shares follow the slots.
func (t tier) pickLessLoaded(random *rand.Rand) weightedCandidate {
	first, second := t.pickWeighted(random), t.pickWeighted(random)
	if second.load()+second.penalty < first.load()+first.penalty {
		return second
	}
	return first
}

func (t tier) pickWeighted(random *rand.Rand) weightedCandidate {
	rest := random.Float64() * t.slots
	for _, candidate := range t.candidates {
		rest -= candidate.slots
		if rest < 0 {
			return candidate
		}
	}
	return t.candidates[len(t.candidates)-1]
}
