package router

import (
	"math/rand/v2"

	"samphiremount.example/core/tracker"
)

const tierCount = 3

var tierNames = [tierCount]string{"own data centre", "own region", "other region"}

func (r Router) tierOf(node tracker.Node) int {
	switch {
	case node.Region == r.place.Region && node.Centre == r.place.Centre:
		return 0
	case node.Region == r.place.Region:
		return 1
	default:
		return 2
	}
}

// weighed is a usable candidate. Slots are those that it may use now, fewer while it starts slowly.
type weighed struct {
	candidate Candidate
	slots     float64
	inFlight  float64
}

func (w weighed) load() float64 {
	return w.inFlight / w.slots
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
	if second.load() < first.load() {
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
