package acceptor_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// endless returns a target that answers each request with start, and then with what next returns, until the connection ends.
func endless(start string, next func(i int) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, start)
		for i := 0; err == nil; {
			var b strings.Builder
			for b.Len() < 4096 {
				_, _ = b.WriteString(next(i))
				i++
			}
			_, err = io.WriteString(conn, b.String())
		}
	})
}

// heap watches the heap of this process. It collects garbage often, so that what is allocated is little more than what is held.
type heap struct {
	peak  atomic.Uint64
	base  uint64
	stop  context.CancelFunc
	group errgroup.Group
}

func allocated() uint64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

func watchHeap(t *testing.T) *heap {
	t.Helper()
	percent := debug.SetGCPercent(10)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
	runtime.GC()
	h := &heap{base: allocated()}
	ctx, stop := context.WithCancel(t.Context())
	h.stop = stop
	h.group.Go(func() error {
		for ctx.Err() == nil {
			h.peak.Store(max(h.peak.Load(), allocated()))
			time.Sleep(2 * time.Millisecond)
		}
		return nil
	})
	return h
}

// end returns how far the heap has grown at most, and by how much it is larger now that the requests have ended. Those that were
// cancelled may take a moment to end, so it waits until the growth is below expected, for some seconds at most.
func (h *heap) end(expected int64) (peak, kept int64) {
	h.stop()
	_ = h.group.Wait()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		kept = int64(allocated()) - int64(h.base)
		if kept < expected || time.Now().After(deadline) {
			return int64(h.peak.Load()) - int64(h.base), kept
		}
	}
}

// TestEndlessAnswersExhaustTheMemory guards against the end of a node by a target that sends bytes until its connection ends:
// the node would hold them, or what it makes of them. The requests are sent once, or sent again and hedged; some callers do not
// read.
func TestEndlessAnswersExhaustTheMemory(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"

		callers  = 16
		duration = 300 * time.Millisecond
		// maxPeak leaves every request 2 MB for its entry and its gates, and the test itself.
		maxPeak = 32 << 20
		maxKept = 4 << 20
	)
	constant := func(text string) func(int) string { return func(int) string { return text } }
	for name, test := range map[string]struct {
		start string
		next  func(i int) string
	}{
		"status line":          {"HTTP/1.1 2", constant("0")},
		"no answer":            {"", constant("\x00")},
		"header line":          {ok + "A: ", constant("b")},
		"header lines":         {ok, constant("A: b\r\n")},
		"other header lines":   {ok, func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
		"folded header lines":  {ok + "A: b\r\n", constant(" \r\n")},
		"interim answers":      {"", constant("HTTP/1.1 100 Continue\r\n\r\n")},
		"heads of interim":     {"", func(i int) string { return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nA: %d\r\n\r\n", i) }},
		"chunk length":         {chunked, constant("0")},
		"chunk extension":      {chunked + "1;", constant("a=b;")},
		"chunk extensions":     {chunked, constant("1;a=bcdefghijklmnopqrstuvwxyz\r\nx\r\n")},
		"chunks":               {chunked, constant("1\r\nx\r\n")},
		"trailers":             {chunked + "0\r\n", func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
		"body without length":  {ok + "\r\n", constant("x")},
		"body of great length": {ok + "Content-Length: 9223372036854775807\r\n\r\n", constant("x")},
		"bytes after the end":  {ok + "Content-Length: 0\r\n\r\n", constant("x")},
		"failure":              {"HTTP/1.1 500 Broken\r\n\r\n", constant("x")},
	} {
		for method, path := range map[string]string{http.MethodPost: "/bookings", http.MethodGet: "/lookups"} {
			t.Run(name+" "+method, func(t *testing.T) {
				target := endless(test.start, test.next)
				f := newFleet(t, target, target, target, target)
				h := watchHeap(t)
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				var group errgroup.Group
				for i := range callers {
					group.Go(func() error {
						for ctx.Err() == nil {
							response, err := http.DefaultClient.Do(f.request(t, method, path).WithContext(ctx))
							if err != nil {
								continue
							}
							if i%2 == 0 {
								_, _ = io.Copy(io.Discard, response.Body)
							} else {
								<-ctx.Done()
							}
							_ = response.Body.Close()
						}
						return nil
					})
				}
				_ = group.Wait()
				peak, kept := h.end(maxKept)
				assert.Check(t, peak < maxPeak, "the heap grew by %d bytes", peak)
				assert.Check(t, kept < maxKept, "%d bytes are kept", kept)
			})
		}
	}
}
