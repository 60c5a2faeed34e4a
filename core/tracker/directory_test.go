package tracker_test

import (
	"fmt"
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
