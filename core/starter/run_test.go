package starter_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/profiler"
	"samphiremount.example/core/starter"
)

// TestServeHTTPFinishesRequestsWithinItsGrace stops a server while it handles a request. The request is answered if that
// takes less than the grace; otherwise the server ends with an error.
func TestServeHTTPFinishesRequestsWithinItsGrace(t *testing.T) {
	for name, test := range map[string]struct {
		grace    time.Duration
		answered bool
	}{"within": {10 * time.Second, true}, "longer": {50 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, stop := context.WithCancel(t.Context())
			started, release := make(chan struct{}), make(chan struct{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-release
				_, _ = io.WriteString(w, "done")
			})
			ended := make(chan error, 1)
			go func() { ended <- starter.ServeHTTP(ctx, listener, handler, test.grace) }()
			content := make(chan string, 1)
			go func() {
				response, err := http.Get("http://" + listener.Addr().String()) //nolint:noctx // the server ends it
				if err != nil {
					content <- err.Error()
					return
				}
				read, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				content <- string(read)
			}()
			<-started
			stop()
			if !test.answered {
				assert.Assert(t, errors.Is(<-ended, context.DeadlineExceeded))
				close(release)
				return
			}
			close(release)
			assert.Equal(t, <-content, "done")
			assert.NilError(t, <-ended)
		})
	}
}

// TestEndlessHeadsExhaustTheMemory guards against the end of a process by a target or another client of an API that sends header
// lines until its connection is closed.
func TestEndlessHeadsExhaustTheMemory(t *testing.T) {
	const (
		clients = 256
		maxPeak = 16 << 20
	)
	head := []byte("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range 400_000 {
		head = fmt.Appendf(head, "%x:\r\n", i)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- starter.ServeHTTP(ctx, listener, http.NotFoundHandler(), time.Second) }()
	heap := profiler.Watch(t)
	var group errgroup.Group
	for range clients {
		group.Go(func() error {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
			_, _ = conn.Write(head)
			_, _ = io.Copy(io.Discard, conn)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	peak, kept := heap.End(1 << 20)
	assert.Check(t, peak < maxPeak, "the heap grew by %d bytes", peak)
	assert.Check(t, kept < 1<<20, "%d bytes are kept", kept)
	stop()
	assert.NilError(t, <-ended)
}
