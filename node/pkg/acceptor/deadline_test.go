package acceptor_test

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDeadlineThatPassesBeforeAnyAttemptIsToldAsSuch guards against a node that is taken for unreachable because a request
// had no time left when it was admitted.
func TestDeadlineThatPassesBeforeAnyAttemptIsToldAsSuch(t *testing.T) {
	var runs atomic.Int64
	f := newFleet(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	f.limiter.wait = func(deadline time.Time) { time.Sleep(time.Until(deadline)) }
	reply := do(t, f.request(t, http.MethodPost, "/orders"))
	var refusal struct{ Error, Outcome string }
	assert.NilError(t, json.Unmarshal([]byte(reply.content), &refusal))
	assert.Equal(t, refusal.Error, "deadline-passed")
	assert.Equal(t, refusal.Outcome, "not-run")
	assert.Equal(t, runs.Load(), int64(0))
}

// TestRequestThatReachesNoGateIsToldAsNotRun stops the only gate. Whatever the entry tries before it fails, no target can
// have run the request.
func TestRequestThatReachesNoGateIsToldAsNotRun(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(answerReady))
	assert.Equal(t, do(t, f.request(t, http.MethodPost, "/bookings")).status, http.StatusOK)
	f.stopGate()
	waitFor(t, func() bool {
		reply := do(t, f.request(t, http.MethodPost, "/bookings"))
		var refusal struct{ Error, Outcome string }
		assert.NilError(t, json.Unmarshal([]byte(reply.content), &refusal))
		return refusal.Error == "node-unreachable" && refusal.Outcome == "not-run" && reply.status == http.StatusBadGateway
	})
}
