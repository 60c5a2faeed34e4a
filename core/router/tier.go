package router

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"samphiremount.example/core/tracker"
)

// tierCount is the number of tiers: local data centre, local region and remote region.
const tierCount = 3

// remoteTier is the index of the tier of the remote regions.
const remoteTier = tierCount - 1

var tierNames = [tierCount]string{"own data centre", "own region", "other region"}

func (r Router) tierName(tierIndex int) string {
	if r.regionalTier && tierIndex == 0 {
		tierIndex = 1
	}
	return tierNames[tierIndex]
}

// tierOf returns the index of the tier that the targets of node belong to.
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

// inUse reports whether the target is in use, regardless of earlier attempts of the request.
func (c Candidate) inUse() bool {
	_, serving := c.Status.(Serving)
	return serving && !c.Placement.Target.Leaving
}

// weightedCandidate is a usable candidate. slots is the number of slots that it may use now, which is lower during its
// slow start. penalty is added to its load when it is compared with another candidate.
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
	// crossCentrePenalty is added to the load of a target in another data centre if the local region is one tier. It is
	// small since traffic between data centres of a region costs little.
	crossCentrePenalty = 0.2
	// lostNodePenalty is added to the load of a target on a node that control has lost.
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

// remoteMargin is how much lower the load of the remote tier must be before requests spill to it, if the local region is
// one tier. Between equally loaded regions, spilling would only swap requests.
const remoteMargin = 0.3

// isLessLoaded reports whether next, the farther tier, is enough less loaded than current to spill a request to it.
func (r Router) isLessLoaded(next, current tier) bool {
	if !r.regionalTier {
		return next.load() < current.load()
	}
	return next.load()+remoteMargin < current.load()
}

// tier is the set of usable candidates at one distance, with the sums of their slots and of their requests in flight.
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

// pickLessLoaded picks two random candidates, weighted by their slots, and returns the less loaded one. Without load,
// the candidates' shares of requests are proportional to their slots. If some candidates are nearer than others, the first
// one is picked among these, so that requests leave the data centre only for a target that is less loaded by the penalty:
// with four data centres in a region, more than half of all pairs have no near candidate.
func (t tier) pickLessLoaded(random *rand.Rand) weightedCandidate {
	first, second := t.near().pickWeighted(random), t.pickWeighted(random)
	if second.load()+second.penalty < first.load()+first.penalty {
		return second
	}
	return first
}

// near returns the tier with only the candidates of the lowest penalty.
func (t tier) near() tier {
	lowest := slices.MinFunc(t.candidates, func(a, b weightedCandidate) int { return cmp.Compare(a.penalty, b.penalty) }).penalty
	var near tier
	for _, candidate := range t.candidates {
		if candidate.penalty == lowest {
			near = near.with(candidate)
		}
	}
	return near
}

// pickTrial returns the choice of a random candidate on trial.
func (t tier) pickTrial(random *rand.Rand) Choice {
	return Choice{Placement: t.pickWeighted(random).candidate.Placement, Reason: "on trial after an ejection", Trial: true}
}

// pickWeighted returns a random candidate, weighted by the slots of the candidates.
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
