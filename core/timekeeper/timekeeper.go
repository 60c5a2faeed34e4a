// Package timekeeper provides a clock that advances while the VM is suspended. Go's monotonic clock does not. Leases,
// contacts, terms and other things that may expire during a suspension use this clock. Its times must be compared only
// with each other.
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// processClock is the clock behind Now.
var processClock Clock

// Now returns the current time, with a monotonic reading that includes suspensions of the VM. It never goes backwards.
func Now() time.Time {
	boot := read(unix.CLOCK_BOOTTIME)
	monotonic := read(unix.CLOCK_MONOTONIC)
	return processClock.Adjust(boot, monotonic, time.Now())
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be based on Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Clock holds the minimum total time for which the VM was suspended. Its zero value is 0. It is safe for concurrent
// use.
type Clock struct {
	suspended atomic.Int64
}

// Adjust returns now plus the time for which the VM was suspended: the difference of boot, a clock that includes
// suspensions, and monotonic, one that does not. The caller must read boot, monotonic and now in this order. A delay
// between the first two makes the difference smaller than the suspension, never larger.
func (c *Clock) Adjust(boot, monotonic time.Duration, now time.Time) time.Time {
	for {
		known := c.suspended.Load()
		observed := int64(boot - monotonic)
		if observed <= known {
			return now.Add(time.Duration(known))
		}
		if c.suspended.CompareAndSwap(known, observed) {
			return now.Add(time.Duration(observed))
		}
	}
}

// read returns the time of a clock, or 0 if the kernel does not provide it. A kernel that lacks one of the two clocks
// lacks both.
func read(clock int32) time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(clock, &reading); err != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}
