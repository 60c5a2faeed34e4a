// Package timekeeper reads a clock that goes on while the VM is suspended. Go's monotonic clock stands still then, so what must
// not outlive a suspension (leases, contacts, terms) is held on this one. Its times are compared with each other only.
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

var processClock Clock

// Now returns the time, with a monotonic reading that includes suspensions of the VM. It never steps back.
func Now() time.Time {
	boot := read(unix.CLOCK_BOOTTIME)
	monotonic := read(unix.CLOCK_MONOTONIC)
	return processClock.Adjust(boot, monotonic, time.Now())
}

// Since returns the time since t, which is one of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is one of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Clock knows how long the VM was suspended, at least. The zero value knows of no suspension.
type Clock struct {
	suspended atomic.Int64
}

// Adjust returns now with the time added for which the VM was suspended. Boot, monotonic and now are read in this order: what
// the process waits for between the first two makes their difference smaller than the suspension, never larger.
func (k *Clock) Adjust(boot, monotonic time.Duration, now time.Time) time.Time {
	for {
		known := k.suspended.Load()
		seen := int64(boot - monotonic)
		if seen <= known {
			return now.Add(time.Duration(known))
		}
		if k.suspended.CompareAndSwap(known, seen) {
			return now.Add(time.Duration(seen))
		}
	}
}

// read returns what a clock shows, or 0 if the kernel does not have it: both clocks are missing then.
func read(clock int32) time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(clock, &reading); err != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}
