package sloper

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

// processorClock is the kernel's clock of a process's processor time (CPUCLOCK_SCHED).
const processorClock = 2

// usage is what a process has used since its start. Memory is its resident set now.
type usage struct {
	processor time.Duration
	sent      float64
	received  float64
	memory    float64
}

// readUsage returns the usage of the process pid. Bytes are those of all reads and writes, so logs count as sent.
func readUsage(pid int) (usage, error) {
	var spent unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|processorClock, &spent); err != nil {
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
		processor: time.Duration(spent.Nano()),
		sent:      field(counters, "wchar:"),
		received:  field(counters, "rchar:"),
		memory:    nth(pages, 1) * float64(os.Getpagesize()),
	}, nil
}

func (u usage) since(before usage) usage {
	return usage{u.processor - before.processor, u.sent - before.sent, u.received - before.received, u.memory}
}

func field(text []byte, name string) float64 {
	_, rest, _ := bytes.Cut(text, []byte(name))
	return nth(rest, 0)
}

func nth(text []byte, index int) float64 {
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

// heapOf returns the bytes of heap that the value of make keeps.
func heapOf[T any](create func() (T, error)) (float64, error) {
	before := heap()
	value, err := create()
	after := heap()
	runtime.KeepAlive(value)
	return after - before, err
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

const timedSpan = 150 * time.Millisecond

// processorOf returns the processor time that one run of work takes, garbage collection included, in microseconds.
func processorOf(work func() error) (float64, error) {
	if err := work(); err != nil {
		return 0, err
	}
	runtime.GC()
	before, err := readUsage(os.Getpid())
	if err != nil {
		return 0, err
	}
	runs := 0
	for deadline := time.Now().Add(timedSpan); runs < 3 || time.Now().Before(deadline); runs++ {
		if err := work(); err != nil {
			return 0, err
		}
	}
	after, err := readUsage(os.Getpid())
	return float64(after.since(before).processor.Microseconds()) / float64(runs), err
}
