package router

import (
	"math/rand/v2"

	"samphiremount.example/core/tracker"
)

const tierCount = 3

// farTier is that of the other region.
const farTier = tierCount - 1

var tierNames = [tierCount]string{"own data centre", "own region", "other region"}

func (r Router) tierName(place int) string {
	if r.regional && place == 0 {
		place = 1
	}
	return tierNames[place]
}

func (r Router) tierOf(node tracker.Node) int {
	switch {
	case node.Region == r.place.Region && (r.regional || node.Centre == r.place.Centre):
		return 0
	case node.Region == r.place.Region:
		return 1
	default:
		return 2
	}
}

// serves reports whether the target is in use, whether or not the request was sent there before.
func (c Candidate) serves() bool {
	_, serving := c.Standing.(Serving)
	return serving && !c.Placement.Target.Leaving
}

// weighed is a usable candidate. Slots are those that it may use now, fewer while it starts slowly.
// Penalty is added to its load in a comparison with others.
type weighed struct {
	candidate Candidate
	penalty   float64
	slots     float64
	inFlight  float64
}

func (w weighed) load() float64 {
	return w.inFlight / w.slots
}

const (
	// centrePenalty is the load that a target of the own data centre may have more than one of another, where both
	// belong to one tier. Traffic between data centres of a region costs little.
	centrePenalty = 0.2
	// lostPenalty is the load that a target on a node which control lost counts as having.
	lostPenalty = 0.5
)

func (r Router) penalty(node tracker.Node) float64 {
	penalty := 0.0
	if r.regional && node.Centre != r.place.Centre {
		penalty += centrePenalty
	}
	if node.Gone {
		penalty += lostPenalty
	}
	return penalty
}

// farMargin is by how much less a tier must be loaded that is in another region, where the own region is one tier. Both
// regions being as loaded, requests would only change places.
const farMargin = 0.3

// relieves reports whether a request should go to the farther tier next, since near is short of capacity.
func (r Router) relieves(next, near tier) bool {
	if !r.regional {
		return next.load() < near.load()
	}
	return next.load()+farMargin < near.load()
}

// tier is the set of usable candidates at one distance.
type tier struct {
	usable   []weighed
	slots    float64
	inFlight float64
}

func (t tier) with(candidate weighed) tier {
	return tier{append(t.usable, candidate), t.slots + candidate.slots, t.inFlight + candidate.inFlight}
}

func (t tier) load() float64 {
	return t.inFlight / t.slots
}

// pick draws two candidates by their slots and returns the less loaded one. Without load, shares follow the slots.
func (t tier) pick(random *rand.Rand) weighed {
	first, second := t.draw(random), t.draw(random)
	if second.load()+second.penalty < first.load()+first.penalty {
		return second
	}
	return first
}

func (t tier) draw(random *rand.Rand) weighed {
	rest := random.Float64() * t.slots
	for _, candidate := range t.usable {
		rest -= candidate.slots
		if rest < 0 {
			return candidate
		}
	}
	return t.usable[len(t.usable)-1]
}
