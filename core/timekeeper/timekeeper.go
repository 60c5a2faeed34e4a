// Package timekeeper reads a clock that goes on while the VM is suspended. Go's monotonic clock stands still then, so what must
// not outlive a suspension (leases, contacts, terms) is held on this one. Its times are compared with each other only.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// resolution hides that the two clocks are not read at the same moment. It is far below any suspension that counts.
const resolution = 10 * time.Millisecond

// Now returns the time, with a monotonic reading that includes suspensions of the VM.
func Now() time.Time { return shift(time.Now(), read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME)) }

// Since returns the time since t, which is one of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is one of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// shift returns now with the time added for which the VM was suspended.
func shift(now time.Time, monotonic, boot time.Duration) time.Time {
	return now.Add((boot - monotonic).Round(resolution))
}

// read returns what a clock shows, or 0 if the kernel does not have it: both clocks are missing then.
func read(clock int32) time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(clock, &reading); err != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}
