package starter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

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
