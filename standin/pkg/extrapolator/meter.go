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

// cpuClockSched is the kernel's clock of a process's processor time (CPUCLOCK_SCHED).
const cpuClockSched = 2

// usage is what a process has used since its start. Memory is its resident set now.
type usage struct {
	cpu      time.Duration
	sent     float64
	received float64
	memory   float64
}

// readUsage returns the usage of the process pid. Bytes are those of all reads and writes, so logs count as sent.
func readUsage(pid int) (usage, error) {
	var spent unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|cpuClockSched, &spent); err != nil {
		return usage{}, errors.Wrap(err, "read processor clock")
	}
	counters, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read counters")
	}
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read memory")
	}
	return usage{
		cpu:      time.Duration(spent.Nano()),
		sent:     namedValue(counters, "wchar:"),
		received: namedValue(counters, "rchar:"),
		memory:   nthValue(pages, 1) * float64(os.Getpagesize()),
	}, nil
}

func (u usage) since(before usage) usage {
	return usage{u.cpu - before.cpu, u.sent - before.sent, u.received - before.received, u.memory}
}

func namedValue(text []byte, name string) float64 {
	_, rest, _ := bytes.Cut(text, []byte(name))
	return nthValue(rest, 0)
}

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

// retainedHeap returns the bytes of heap that the value of make keeps.
func retainedHeap[T any](create func() (T, error)) (float64, error) {
	before := liveHeap()
	value, err := create()
	after := liveHeap()
	runtime.KeepAlive(value)
	return after - before, err
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

const minTimedDuration = 150 * time.Millisecond

// cpuTimePerRun returns the processor time that one run of work takes, garbage collection included, in microseconds.
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
