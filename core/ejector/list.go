package ejector

import (
	"cmp"
	"slices"
)

// Phase is the phase of an ejection.
type Phase int

const (
	// Excluded is the phase in which the target gets no requests.
	Excluded Phase = iota
	// Trial is the phase in which the target gets a few repeatable requests.
	Trial
)

// Ejection is the ejection of one target as it is published. Score is that of the verdict, higher for worse targets.
// Count is the number of ejections of the target so far, as far as they are remembered.
type Ejection struct {
	Target  string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Phase   Phase   `cbor:"3,keyasint,omitempty"`
	Score   float64 `cbor:"4,keyasint,omitempty"`
	Count   int     `cbor:"5,keyasint,omitempty"`
	Reason  string  `cbor:"6,keyasint,omitempty"`
}

// Capacity is the number of slots of a target that is present.
type Capacity struct {
	Target string
	Slots  int
}

// EnforceFloor returns the ejections of one service that an entry node follows, by target. It skips an ejection if
// following it would take the capacity that is present and not ejected below floor; the ejections with the highest
// scores are followed first. A node thus keeps the floor by its own knowledge of which targets are present, even if the
// process that granted the ejections knows less or is unreachable.
func EnforceFloor(ejections []Ejection, present []Capacity, floor int) map[string]Ejection {
	slots := make(map[string]int, len(present))
	available := 0
	for _, capacity := range present {
		slots[capacity.Target] = capacity.Slots
		available += capacity.Slots
	}
	worst := slices.Clone(ejections)
	sortWorstFirst(worst)
	followed := make(map[string]Ejection, len(worst))
	for _, ejection := range worst {
		if available-slots[ejection.Target] < floor {
			continue
		}
		available -= slots[ejection.Target]
		followed[ejection.Target] = ejection
	}
	return followed
}

func sortWorstFirst(ejections []Ejection) {
	slices.SortFunc(ejections, func(a, b Ejection) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Target, b.Target))
	})
}
