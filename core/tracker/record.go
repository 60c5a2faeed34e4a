// Package tracker keeps the directory of the nodes and of the targets on their VMs.
package tracker

import "slices"

// Target is one target as its node reports it. Slots is the number of requests that it can run at a time. StartedAt is the
// start time that the target states, in milliseconds since 1970, or 0. Sequence is the number of the announcement that
// brought it into this state, or 0.
type Target struct {
	Name      string `cbor:"1,keyasint" json:"name"`
	Service   string `cbor:"2,keyasint" json:"service"`
	Slots     int    `cbor:"3,keyasint" json:"slots"`
	Leaving   bool   `cbor:"4,keyasint,omitempty" json:"leaving,omitempty"`
	StartedAt int64  `cbor:"5,keyasint,omitempty" json:"born,omitempty"`
	Sequence  uint64 `cbor:"6,keyasint,omitempty" json:"sequence,omitempty"`
}

// Node is the record that a node publishes about itself. Incarnation grows with each start of the node, and Sequence with
// each change of the record. Gone is set by the control process that lost the node. Departures are those of targets on the
// node's VM. Inherits is set while the node may not know those that its earlier incarnations reported: everyone who holds a
// record of them then adds them to this one. Lends is set if the node can lend the workspaces' rates.
type Node struct {
	Name        string   `cbor:"1,keyasint" json:"name"`
	Region      string   `cbor:"2,keyasint" json:"region"`
	Centre      string   `cbor:"3,keyasint" json:"centre"`
	Address     string   `cbor:"4,keyasint" json:"address"`
	Entry       string   `cbor:"5,keyasint" json:"entry"`
	Incarnation uint64   `cbor:"6,keyasint" json:"incarnation"`
	Sequence    uint64   `cbor:"7,keyasint" json:"sequence"`
	Leaving     bool     `cbor:"8,keyasint,omitempty" json:"leaving,omitempty"`
	Gone        bool     `cbor:"9,keyasint,omitempty" json:"gone,omitempty"`
	Targets     []Target `cbor:"10,keyasint,omitempty" json:"targets,omitempty"`

	Departures []Departure `cbor:"11,keyasint,omitempty" json:"departures,omitempty"`
	Inherits   bool        `cbor:"12,keyasint,omitempty" json:"inherits,omitempty"`
	// Narrow is set if the link of the node's VM is so narrow that control saves bytes between regions.
	Narrow bool `cbor:"13,keyasint,omitempty" json:"narrow,omitempty"`
	Lends  bool `cbor:"14,keyasint,omitempty" json:"lends,omitempty"`
}

// Newer reports whether n replaces old. Of two records with the same incarnation and sequence, the one with Gone set
// replaces the other.
func (n Node) Newer(old Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	if n.Sequence != old.Sequence {
		return n.Sequence > old.Sequence
	}
	return n.Gone && !old.Gone
}

// withDepartures returns n with the departures added, and without the targets that are outdated by a departure.
func (n Node) withDepartures(departures []Departure) Node {
	if len(departures) > 0 {
		n.Departures = mergeDepartures(n.Departures, departures)
	}
	outdated := func(target Target) bool {
		return slices.ContainsFunc(n.Departures, func(d Departure) bool {
			return d.Target == target.Name && d.Outdates(target.StartedAt, target.Sequence)
		})
	}
	if slices.ContainsFunc(n.Targets, outdated) {
		n.Targets = slices.DeleteFunc(slices.Clone(n.Targets), outdated)
	}
	return n
}

// mergedWith returns the record of the node after other, another record of it, was received, and whether that is a change.
func (n Node) mergedWith(other Node) (Node, bool) {
	if other.Newer(n) {
		if !other.Inherits {
			n.Departures = nil
		}
		return other.withDepartures(n.Departures), true
	}
	if !n.Inherits || len(other.Departures) == 0 {
		return n, false
	}
	merged := n.withDepartures(other.Departures)
	return merged, !slices.Equal(merged.Departures, n.Departures)
}
