package starter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/node/pkg/counter"
	"samphiremount.example/node/pkg/finisher"
)

var errStopping = errors.New("the node stops before the request has ended")

// trackCallers registers the requests that handler serves, so that the stop can finish them or break them off.
func (n *Node) trackCallers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		request := n.callers.Begin(time.Now(), "", func() {
			cancel(errStopping)
			if r.ContentLength != 0 {
				// Otherwise the answer waits for the rest of the body.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			}
		})
		defer request.End()
		tracked := &trackedWriter{ResponseWriter: w, node: n, request: request}
		handler.ServeHTTP(tracked, r.WithContext(counter.WithEntry(ctx, request.Entry)))
	})
}

// trackedWriter records when the answer begins. While the node stops, the answer closes its connection.
type trackedWriter struct {
	http.ResponseWriter

	node    *Node
	request *finisher.Request
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackedWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		w.request.Answer()
		if w.node.plan.Load() != nil {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackedWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // net/http must see its own errors
}

// Unwrap returns the writer for http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
