package timekeeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/allotter"
	"samphiremount.example/core/timekeeper"
)

func TestNowNeverStepsBack(t *testing.T) {
	last := timekeeper.Now()
	for range 100_000 {
		now := timekeeper.Now()
		assert.Assert(t, !now.Before(last), "%v", now.Sub(last))
		last = now
	}
}

// TestLeaseEndsDuringASuspension holds a lease over a suspension in which the monotonic clock stood still.
func TestLeaseEndsDuringASuspension(t *testing.T) {
	const suspension = 5 * time.Second
	before := time.Now()
	monotonic := 3 * time.Second
	asked := timekeeper.Shift(before, monotonic, monotonic+time.Microsecond)
	holding := allotter.Holding{}.With(allotter.NewLease(asked, "lender", 1, 10))

	after := before.Add(time.Millisecond)
	monotonic += time.Millisecond
	_, _, ok := holding.Draw(timekeeper.Shift(after, monotonic, monotonic+time.Microsecond))
	assert.Assert(t, ok, "the lease counts without a suspension")
	_, _, ok = holding.Draw(timekeeper.Shift(after, monotonic, monotonic+suspension))
	assert.Assert(t, !ok, "the lease outlived the suspension")
}
