package timekeeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/allocator"
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

// TestWaitBetweenTheClocksIsNoSuspension has a process that does not run for a while after it read one of the clocks.
func TestWaitBetweenTheClocksIsNoSuspension(t *testing.T) {
	var k timekeeper.Clock
	at := time.Now()
	assert.Equal(t, k.Adjust(time.Second, time.Second, at), at)
	assert.Equal(t, k.Adjust(time.Second, time.Second+20*time.Millisecond, at), at)
	// A suspension that is known stays known.
	assert.Equal(t, k.Adjust(4*time.Second, time.Second, at), at.Add(3*time.Second))
	assert.Equal(t, k.Adjust(4*time.Second, 2*time.Second, at), at.Add(3*time.Second))
}

// TestLeaseEndsDuringASuspension holds a lease over a suspension in which the monotonic clock stood still.
func TestLeaseEndsDuringASuspension(t *testing.T) {
	const suspension = 5 * time.Second
	var k timekeeper.Clock
	before, boot := time.Now(), 3*time.Second
	holding := allocator.LeaseSet{}.With(allocator.NewLease(k.Adjust(boot, boot, before), "lender", 1, 10))

	after := before.Add(time.Millisecond)
	boot += time.Millisecond
	_, _, ok := holding.Spend(k.Adjust(boot, boot, after))
	assert.Assert(t, ok, "the lease counts without a suspension")
	_, _, ok = holding.Spend(k.Adjust(boot+suspension, boot, after))
	assert.Assert(t, !ok, "the lease outlived the suspension")
}
