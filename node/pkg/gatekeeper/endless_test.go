package gatekeeper_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/logger"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/profiler"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/recorder"
)

// recordingWatcher sends the results of attempts to a channel.
type recordingWatcher chan observer.Result

func (w recordingWatcher) Start(string, string) func(observer.Result) {
	return func(result observer.Result) { w <- result }
}

// decliningProtocol is the default protocol with the status 503 for requests that the target did not run.
type decliningProtocol struct{ gatekeeper.DefaultProtocol }

func (decliningProtocol) Classify(_ http.Header, status int, _ forwarder.Head, _ bool) gatekeeper.Verdict {
	if status == http.StatusServiceUnavailable {
		return gatekeeper.Declined{Kind: refuser.CapacityShort}
	}
	return gatekeeper.Ran{}
}

// endlessTarget answers each request with start, followed by repeat until the connection closes. sent counts its bytes,
// and closed is closed with the first connection.
type endlessTarget struct {
	address string
	sent    atomic.Int64
	closed  chan struct{}
}

func newEndlessTarget(t *testing.T, start, repeat string) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &endlessTarget{address: listener.Addr().String(), closed: make(chan struct{})}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(target.closed)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		// The heap is measured while this runs, so it allocates nothing.
		chunk, repeated := []byte(start), []byte(strings.Repeat(repeat, 1+4096/max(len(repeat), 1)))
		for err == nil {
			var n int
			n, err = conn.Write(chunk)
			target.sent.Add(int64(n))
			if chunk = repeated; repeat == "" {
				_, err = conn.Read(make([]byte, 1))
			}
		}
	}()
	return target
}

// TestAnswerWithoutEnd guards against targets that send bytes until the gate closes the connection, or none at all.
func TestAnswerWithoutEnd(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		deadline = 700 * time.Millisecond
		// maxHead bounds the bytes of a head, with what the kernel's buffers take.
		maxHead = 8 << 20
		maxHeap = 16 << 20
	)
	answered, broken := observer.Answered{Status: 200}, observer.Broken{}
	for name, test := range map[string]struct {
		start, repeat string
		results       []observer.Result
		atOnce        bool
	}{
		"header lines":    {ok, "A: b\r\n", []observer.Result{broken}, true},
		"one header line": {ok + "A: ", "b", []observer.Result{broken}, true},
		"status line":     {"HTTP/1.1 2", "0", []observer.Result{broken}, true},
		"no answer":       {"", "noise", []observer.Result{broken}, true},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n", []observer.Result{broken}, true},
		"declined":        {"HTTP/1.1 503 Full\r\n\r\n", "x", []observer.Result{observer.Answered{Status: 503}}, true},
		"declined silent": {"HTTP/1.1 503 Full\r\n\r\nx", "", []observer.Result{observer.Answered{Status: 503}}, true},
		"body":            {ok + "\r\n", "x", []observer.Result{answered, broken}, false},
		"chunks":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", []observer.Result{answered, broken}, false},
		"silent body":     {ok + "Content-Length: 9\r\n\r\nx", "", []observer.Result{answered, broken}, false},
		"chunk length":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "1", []observer.Result{answered, broken}, true},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", []observer.Result{answered, broken}, true},
	} {
		t.Run(name, func(t *testing.T) {
			target, watcher := newEndlessTarget(t, test.start, test.repeat), make(recordingWatcher, 4)
			known := targets{"a": {Name: "a", Service: "s", Address: target.address, Slots: 1}}
			counts := new(expvar.Map)
			gate := gatekeeper.New(7, decliningProtocol{}, known, connector.New(counts), watcher, counts, slog.New(slog.DiscardHandler),
				func(string, quarantiner.Crash) {})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			started := time.Now()
			answer, err := gate.Run(ctx, head("x", "w"), http.NoBody)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				assert.Assert(t, memory.HeapInuse < maxHeap, "%d bytes of heap", memory.HeapInuse)
				_ = answer.Body.Close()
			} else {
				assert.Assert(t, target.sent.Load() < maxHead, "%d bytes", target.sent.Load())
			}
			assert.Assert(t, err != nil)
			elapsed := time.Since(started)
			assert.Assert(t, elapsed < 2*deadline && (!test.atOnce || elapsed < deadline), "took %s", elapsed)
			select {
			case <-target.closed:
			case <-time.After(time.Second):
				t.Fatal("the connection is still open")
			}
			close(watcher)
			var results []observer.Result
			for result := range watcher {
				results = append(results, result)
			}
			assert.DeepEqual(t, results, test.results)
		})
	}
}

// TestBytesOfATargetAreKeptInTheLog guards against memory that grows with each garbled answer: the text of its error holds what the
// target sent, and the lines about requests are kept for samphire explain.
func TestBytesOfATargetAreKeptInTheLog(t *testing.T) {
	const (
		requests = 100
		maxKept  = 2 << 20
	)
	for name, garbage := range map[string]string{
		"status line": "HTTP/1.1 2" + strings.Repeat("0", 200<<10) + "\r\n\r\n",
		"header line": "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 200<<10) + "\r\n\r\n",
		"unprintable": strings.Repeat("\x00", 200<<10) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				_, _ = io.WriteString(conn, garbage)
				_ = conn.Close()
			}))
			defer target.Close()
			known := targets{"a": {Name: "a", Service: "s", Address: target.Listener.Addr().String(), Slots: 1}}
			decisions := recorder.New(2048)
			log := logger.New(io.Discard, slog.LevelInfo).Wrap(decisions.Handler)
			counts, watcher := new(expvar.Map), make(recordingWatcher, 2*requests)
			gate := gatekeeper.New(7, decliningProtocol{}, known, connector.New(counts), watcher, counts, log.Part("gate"),
				func(string, quarantiner.Crash) {})
			heap := profiler.Watch(t)
			for i := range requests {
				request := head(fmt.Sprint("r", i), "w")
				_, err := gate.Run(t.Context(), request, http.NoBody)
				assert.Assert(t, err != nil)
				assert.Check(t, len(refuser.From(err).Detail) < 4<<10, "the refusal has %d bytes", len(refuser.From(err).Detail))
			}
			_, kept := heap.End(maxKept)
			assert.Assert(t, kept < maxKept, "%d bytes are kept", kept)
			assert.Assert(t, len(decisions.Decisions("r0")) > 0)
		})
	}
}
