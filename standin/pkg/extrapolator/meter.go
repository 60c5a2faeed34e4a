package extrapolator

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// cpuClockSched selects the clock of the CPU time of a process (CPUCLOCK_SCHED of Linux).
const cpuClockSched = 2

// usage is the use of resources by a process since its start or between two readings. sent and received are in bytes.
// memory is the current resident set in bytes.
type usage struct {
	cpu      time.Duration
	sent     float64
	received float64
	memory   float64
}

// readUsage returns the usage of the process pid since its start. The bytes sent and received are those of all write
// and read calls, so logs count as sent.
func readUsage(pid int) (usage, error) {
	var spent unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|cpuClockSched, &spent); err != nil {
		return usage{}, errors.Wrap(err, "read CPU clock")
	}
	counters, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read I/O counters")
	}
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read memory use")
	}
	return usage{
		cpu:      time.Duration(spent.Nano()),
		sent:     namedValue(counters, "wchar:"),
		received: namedValue(counters, "rchar:"),
		memory:   nthValue(pages, 1) * float64(os.Getpagesize()),
	}, nil
}

// since returns the usage between the readings before and u, with the memory of u.
func (u usage) since(before usage) usage {
	return usage{u.cpu - before.cpu, u.sent - before.sent, u.received - before.received, u.memory}
}

// namedValue returns the number that follows name in text, or 0.
func namedValue(text []byte, name string) float64 {
	_, rest, _ := bytes.Cut(text, []byte(name))
	return nthValue(rest, 0)
}

// nthValue returns the number in the field of text at index, counted from 0, or 0.
func nthValue(text []byte, index int) float64 {
	fields := bytes.Fields(text)
	if index >= len(fields) {
		return 0
	}
	value, err := strconv.ParseFloat(string(fields[index]), 64)
	if err != nil {
		return 0
	}
	return value
}

// retainedHeap returns the bytes of heap that the value of create retains.
func retainedHeap[T any](create func() (T, error)) (float64, error) {
	before := liveHeap()
	value, err := create()
	after := liveHeap()
	runtime.KeepAlive(value)
	return after - before, err
}

// liveHeap returns the bytes of reachable heap objects. It collects garbage twice, because what a sync.Pool holds
// survives the first collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// minTimedDuration is the minimum total duration of the runs that cpuTimePerRun measures.
const minTimedDuration = 150 * time.Millisecond

// cpuTimePerRun returns the mean CPU time of a run of work in microseconds, garbage collection included. It measures at
// least three runs, after a first one that does not count.
func cpuTimePerRun(work func() error) (float64, error) {
	if err := work(); err != nil {
		return 0, err
	}
	runtime.GC()
	before, err := readUsage(os.Getpid())
	if err != nil {
		return 0, err
	}
	runs := 0
	for deadline := time.Now().Add(minTimedDuration); runs < 3 || time.Now().Before(deadline); runs++ {
		if err := work(); err != nil {
			return 0, err
		}
	}
	after, err := readUsage(os.Getpid())
	return float64(after.since(before).cpu.Microseconds()) / float64(runs), err
}
