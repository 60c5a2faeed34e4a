package acceptor_test

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailureOfTheOnlyTargetReachesTheCaller guards against a target's answer that is replaced by a failure of the fleet.
func TestFailureOfTheOnlyTargetReachesTheCaller(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}))
	for _, path := range []string{"/bookings", "/catalogue"} {
		reply := do(t, f.request(t, http.MethodGet, path))
		assert.Equal(t, reply.status, http.StatusInternalServerError, path)
		assert.Equal(t, reply.content, "broken", path)
	}
}

// TestFailureIsLostToAHedgeWithoutAnswer guards against a target's answer that is dropped for a second attempt which breaks
// off later.
func TestFailureIsLostToAHedgeWithoutAnswer(t *testing.T) {
	var started atomic.Int64
	failed := make(chan struct{})
	f := newFleetWith(t, generousPolicy, nil, slices.Repeat([]http.Handler{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if started.Add(1) == 2 {
			<-failed
			panic(http.ErrAbortHandler)
		}
		time.Sleep(300 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
		time.AfterFunc(200*time.Millisecond, func() { close(failed) })
	})}, 2)...)
	reply := do(t, f.request(t, http.MethodGet, "/lookups"))
	assert.Equal(t, started.Load(), int64(2))
	assert.Equal(t, reply.status, http.StatusInternalServerError)
	assert.Equal(t, reply.content, "broken")
}
