package tracker

import (
	"cmp"
	"slices"
	"strings"
)

// MaxDepartures bounds the departures in the record of one node. It leaves room for every target of a VM to be replaced a
// few times within the time for which its node reports a departure.
const MaxDepartures = 64

// Departure states that a start of a target has left, or has begun to leave, and so holds for each earlier state of the
// target. StartedAt is that start in milliseconds since 1970. Sequence is the number of the announcement with which the
// target began to leave; later announcements of the same start may take it back. Left is set once the target has left, which
// holds for every announcement of that start.
type Departure struct {
	Target    string `cbor:"1,keyasint" json:"target"`
	StartedAt int64  `cbor:"2,keyasint,omitempty" json:"born,omitempty"`
	Sequence  uint64 `cbor:"3,keyasint,omitempty" json:"sequence,omitempty"`
	Left      bool   `cbor:"4,keyasint,omitempty" json:"left,omitempty"`
}

// Outdates reports whether an announcement with sequence of the target's start at startedAt was made before d.
func (d Departure) Outdates(startedAt int64, sequence uint64) bool {
	return startedAt < d.StartedAt || startedAt == d.StartedAt && (d.Left || sequence < d.Sequence)
}

// Includes reports whether d outdates everything that other outdates. Both are of the same target.
func (d Departure) Includes(other Departure) bool {
	if d.StartedAt != other.StartedAt {
		return d.StartedAt > other.StartedAt
	}
	return d.Left || !other.Left && d.Sequence >= other.Sequence
}

// mergeDepartures returns the union of two lists: of two departures of one target, the one that includes the other. The
// result is sorted by target. Of more than MaxDepartures it holds those of the latest starts.
func mergeDepartures(one, other []Departure) []Departure {
	byTarget := make(map[string]Departure, len(one)+len(other))
	for _, d := range slices.Concat(one, other) {
		if known, ok := byTarget[d.Target]; !ok || d.Includes(known) {
			byTarget[d.Target] = d
		}
	}
	merged := make([]Departure, 0, len(byTarget))
	for _, d := range byTarget {
		merged = append(merged, d)
	}
	slices.SortFunc(merged, func(a, b Departure) int {
		return cmp.Or(-cmp.Compare(a.StartedAt, b.StartedAt), strings.Compare(a.Target, b.Target))
	})
	merged = merged[:min(len(merged), MaxDepartures)]
	slices.SortFunc(merged, func(a, b Departure) int { return strings.Compare(a.Target, b.Target) })
	return merged
}
