package acceptor_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTargetThatRecoveredStaysIdle has a target that fails until its gate takes it for suspect, and then recovers. It must get
// requests again, whether they can be hedged or, as those with a body, cannot.
func TestTargetThatRecoveredStaysIdle(t *testing.T) {
	for name, content := range map[string]string{"lookups": "", "lookups with a body": "query"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var fails atomic.Bool
			var failed, served atomic.Int64
			fails.Store(true)
			f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if fails.Load() {
					failed.Add(1)
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				served.Add(1)
			}), http.HandlerFunc(answerReady))
			ask := func() {
				request := f.request(t, http.MethodPost, "/lookups")
				if content != "" {
					request.Body, request.ContentLength = io.NopCloser(strings.NewReader(content)), int64(len(content))
				}
				do(t, request)
			}
			for failed.Load() < 2 {
				ask()
			}
			fails.Store(false)
			for deadline := time.Now().Add(8 * time.Second); served.Load() < 5; time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(deadline), "%d requests served since", served.Load())
				ask()
			}
		})
	}
}
