package ejector

import (
	"cmp"
	"slices"
)

// Phase is how far an ejected target is from its return.
type Phase int

const (
	// Out is a target that gets no requests.
	Out Phase = iota
	// Trial is a target that gets a few repeatable requests.
	Trial
)

// Ejection is one ejected target as it is published. Score grows with how bad the target was judged.
type Ejection struct {
	Target  string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Phase   Phase   `cbor:"3,keyasint,omitempty"`
	Score   float64 `cbor:"4,keyasint,omitempty"`
	Count   int     `cbor:"5,keyasint,omitempty"`
	Reason  string  `cbor:"6,keyasint,omitempty"`
}

// Capacity is a target that is present, with its slots.
type Capacity struct {
	Target string
	Slots  int
}

// EnforceFloor returns the entries of one service that its entry nodes follow: while the capacity that is present and not
// ejected is below floor, the least bad ejected targets come back. This holds the floor by what a node itself sees,
// also when whoever granted the ejections knows less or cannot be reached.
func EnforceFloor(entries []Ejection, present []Capacity, floor int) map[string]Ejection {
	slots := make(map[string]int, len(present))
	available := 0
	for _, capacity := range present {
		slots[capacity.Target] = capacity.Slots
		available += capacity.Slots
	}
	worst := slices.Clone(entries)
	sortWorstFirst(worst)
	followed := make(map[string]Ejection, len(worst))
	for _, entry := range worst {
		if available-slots[entry.Target] < floor {
			continue
		}
		available -= slots[entry.Target]
		followed[entry.Target] = entry
	}
	return followed
}

func sortWorstFirst(entries []Ejection) {
	slices.SortFunc(entries, func(a, b Ejection) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Target, b.Target))
	})
}
