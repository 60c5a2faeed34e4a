package tracker_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/tracker"
)

// TestDirectoryDoesNotDependOnOrder merges the same records in two orders, the second time with repetitions. Both
// directories must hold the same records.
func TestDirectoryDoesNotDependOnOrder(t *testing.T) {
	node := rapid.Custom(func(t *rapid.T) tracker.Node {
		n := tracker.Node{
			Name:        fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(1, 3).Draw(t, "sequence"),
			Gone:        rapid.Bool().Draw(t, "gone"),
		}
		// The content of a record depends only on its incarnation and sequence.
		n.Targets = []tracker.Target{{Name: fmt.Sprint(n.Incarnation, n.Sequence), Service: "s"}}
		n.Departures = []tracker.Departure{{Target: fmt.Sprint(n.Incarnation, n.Sequence%3+1), Sequence: n.Sequence, Left: n.Sequence > 1}}
		n.Inherits = true
		return n
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(node).Draw(t, "records")
		shuffled := rapid.Permutation(append(records, records...)).Draw(t, "shuffled")
		var one, other tracker.Directory
		for _, record := range records {
			one, _ = one.With(record)
		}
		for _, record := range shuffled {
			other, _ = other.With(record)
		}
		assert.DeepEqual(t, one.Nodes(), other.Nodes())
		merged, changed := one.With(records...)
		assert.Equal(t, len(changed), 0, "old records count as changed")
		assert.DeepEqual(t, merged.Placements("s"), one.Placements("s"))
		for _, placement := range one.Placements("s") {
			assert.Assert(t, !placement.Node.Gone)
		}
	})
}

// TestDepartureIsForgottenWhenItsNodeRestarts guards against a target that is used again: the record of its node that stated
// its departure is replaced by one of a later incarnation, which does not know of it.
func TestDepartureIsForgottenWhenItsNodeRestarts(t *testing.T) {
	target := tracker.Target{Name: "a", Service: "s", Slots: 1, StartedAt: 5, Sequence: 3}
	before := tracker.Node{Name: "n", Incarnation: 1, Sequence: 7, Departures: []tracker.Departure{{Target: "a", StartedAt: 5, Left: true}}}
	restarted := tracker.Node{Name: "n", Incarnation: 2, Sequence: 1, Targets: []tracker.Target{target}, Inherits: true}
	for name, order := range map[string][]tracker.Node{"in order": {before, restarted}, "late": {restarted, before}} {
		var d tracker.Directory
		for _, record := range order {
			d, _ = d.With(record)
		}
		assert.Equal(t, len(d.Placements("s")), 0, name)
		held, _ := d.Node("n")
		assert.DeepEqual(t, held.Departures, before.Departures)

		// Once the node has learned its earlier departures, its own list counts.
		knowing := restarted
		knowing.Sequence, knowing.Inherits = 2, false
		d, _ = d.With(knowing)
		assert.Equal(t, len(d.Placements("s")), 1, name)
	}
	later := restarted
	later.Targets = []tracker.Target{{Name: "a", Service: "s", Slots: 1, StartedAt: 6, Sequence: 1}}
	d, _ := tracker.Directory{}.With(before)
	d, _ = d.With(later)
	assert.Equal(t, len(d.Placements("s")), 1, "a later start of the target is usable")
}

// TestDeparturesAreBounded has a node report more departures than a record may hold, over many incarnations.
func TestDeparturesAreBounded(t *testing.T) {
	var d tracker.Directory
	for i := range 3 * tracker.MaxDepartures {
		d, _ = d.With(tracker.Node{Name: "n", Incarnation: uint64(i), Sequence: 1, Inherits: true, Departures: []tracker.Departure{
			{Target: fmt.Sprint(i), StartedAt: int64(i), Left: true},
		}})
	}
	held, _ := d.Node("n")
	assert.Equal(t, len(held.Departures), tracker.MaxDepartures)
	last := fmt.Sprint(3*tracker.MaxDepartures - 1)
	assert.Assert(t, slices.ContainsFunc(held.Departures, func(d tracker.Departure) bool { return d.Target == last }))
}
