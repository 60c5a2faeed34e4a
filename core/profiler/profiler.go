// Package profiler measures the heap of a test. Only tests use it.
package profiler

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// gcPercent makes garbage collections so frequent that what is allocated is little more than what is held.
	gcPercent      = 10
	sampleInterval = 2 * time.Millisecond
	// endTimeout bounds how long End waits for memory to be freed.
	endTimeout = 5 * time.Second
)

// Heap is a measurement of the heap of this process. Tests that run in parallel count too.
type Heap struct {
	base  uint64
	peak  atomic.Uint64
	stop  context.CancelFunc
	group errgroup.Group
}

// Watch starts a measurement.
func Watch(tb testing.TB) *Heap {
	tb.Helper()
	percent := debug.SetGCPercent(gcPercent)
	tb.Cleanup(func() { debug.SetGCPercent(percent) })
	runtime.GC()
	ctx, stop := context.WithCancel(tb.Context())
	h := &Heap{base: allocated(), stop: stop}
	h.group.Go(func() error {
		for ctx.Err() == nil {
			h.peak.Store(max(h.peak.Load(), allocated()))
			time.Sleep(sampleInterval)
		}
		return nil
	})
	return h
}

// End ends the measurement. It returns by how many bytes the heap has grown at most, and by how many it is larger now. What was
// cancelled may take a moment to end, so it waits for some seconds until the latter is below expected.
func (h *Heap) End(expected int64) (peak, kept int64) {
	h.stop()
	_ = h.group.Wait()
	for deadline := time.Now().Add(endTimeout); ; time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		kept = int64(allocated()) - int64(h.base)
		if kept < expected || time.Now().After(deadline) {
			return int64(h.peak.Load()) - int64(h.base), kept
		}
	}
}

func allocated() uint64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
