// Package router chooses the target of a request.
package router

import (
	"math/rand/v2"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tracker"
)

// Place is where a node stands.
type Place struct {
	Region string
	Centre string
}

// Candidate is a target that a request may go to. Load is the number of its requests in flight from this node.
type Candidate struct {
	Placement tracker.Placement
	Load      int
}

// Choice is a chosen target, with the reason for the log.
type Choice struct {
	Placement tracker.Placement
	Reason    string
}

// Router chooses among targets for requests that enter at one place.
type Router struct {
	place Place
}

// New returns the router for a node at place.
func New(place Place) Router {
	return Router{place: place}
}

// Choose picks one of candidates: the nearest tier (own data centre, own region, other region) that has a usable
// target, and within it the less loaded of two drawn from random (power of two choices). Loads are compared in
// requests in flight per slot. It returns a refusal of kind CapacityShort if no candidate is usable.
func (r Router) Choose(random *rand.Rand, candidates []Candidate) (Choice, error) {
	tiers := make([][]Candidate, len(tierNames))
	for _, candidate := range candidates {
		if candidate.Placement.Target.Leaving {
			continue
		}
		tier := r.tier(candidate.Placement.Node)
		tiers[tier] = append(tiers[tier], candidate)
	}
	for tier, usable := range tiers {
		if len(usable) == 0 {
			continue
		}
		return Choice{pick(random, usable).Placement, tierNames[tier]}, nil
	}
	return Choice{}, refuser.Refuse(refuser.CapacityShort, "no usable target")
}

var tierNames = [...]string{"own data centre", "own region", "other region"}

func (r Router) tier(node tracker.Node) int {
	switch {
	case node.Region == r.place.Region && node.Centre == r.place.Centre:
		return 0
	case node.Region == r.place.Region:
		return 1
	default:
		return 2
	}
}

func pick(random *rand.Rand, usable []Candidate) Candidate {
	first := usable[random.IntN(len(usable))]
	second := usable[random.IntN(len(usable))]
	if perSlot(second) < perSlot(first) {
		return second
	}
	return first
}

func perSlot(candidate Candidate) float64 {
	return float64(candidate.Load) / float64(max(candidate.Placement.Target.Slots, 1))
}
