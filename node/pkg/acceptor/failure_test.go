package acceptor_test

import (
	"io"
	"net/http"
	"testing"

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
