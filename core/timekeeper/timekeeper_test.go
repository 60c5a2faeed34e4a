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

// TestDelayBetweenClockReadsIsNoSuspension guards against a process that is not scheduled between the reads of the two
// clocks and then counts the delay as a suspension.
func TestDelayBetweenClockReadsIsNoSuspension(t *testing.T) {
	var clock timekeeper.Clock
	at := time.Now()
	assert.Equal(t, clock.Adjust(time.Second, time.Second, at), at)
	assert.Equal(t, clock.Adjust(time.Second, time.Second+20*time.Millisecond, at), at)
	// A suspension once observed stays counted.
	assert.Equal(t, clock.Adjust(4*time.Second, time.Second, at), at.Add(3*time.Second))
	assert.Equal(t, clock.Adjust(4*time.Second, 2*time.Second, at), at.Add(3*time.Second))
}

// TestLeaseExpiresDuringASuspension guards against a lease that stays valid after a suspension, in which the monotonic
// clock did not advance.
func TestLeaseExpiresDuringASuspension(t *testing.T) {
	const suspension = 5 * time.Second
	var clock timekeeper.Clock
	before, boot := time.Now(), 3*time.Second
	leases := allocator.LeaseSet{}.With(allocator.NewLease(clock.Adjust(boot, boot, before), "lender", 1, 10))

	after := before.Add(time.Millisecond)
	boot += time.Millisecond
	_, _, ok := leases.Spend(clock.Adjust(boot, boot, after))
	assert.Assert(t, ok, "the lease is valid without a suspension")
	_, _, ok = leases.Spend(clock.Adjust(boot+suspension, boot, after))
	assert.Assert(t, !ok, "the lease outlived the suspension")
}
