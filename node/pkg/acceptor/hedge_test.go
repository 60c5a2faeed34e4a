package acceptor_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/retrier"
)

// hang returns a handler that does not answer until its caller cancels.
func hang(started, canceled *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-r.Context().Done()
		canceled.Add(1)
	})
}

func answerReady(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ready") }

func TestRequestThatHangsIsAnsweredByAnotherTarget(t *testing.T) {
	var started, canceled atomic.Int64
	f := newFleet(t, hang(&started, &canceled), http.HandlerFunc(answerReady), http.HandlerFunc(answerReady))
	for range 12 {
		began := time.Now()
		reply := do(t, f.request(t, http.MethodGet, "/lookups"))
		assert.Equal(t, reply.status, http.StatusOK)
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	}
	assert.Assert(t, started.Load() > 0, "no request met the target that hangs")
	// The target's requests are canceled, since their answers are no longer needed.
	waitFor(t, func() bool { return canceled.Load() == started.Load() })
}

func TestRequestThatMayNotBeRepeatedReachesOneTarget(t *testing.T) {
	var started, canceled atomic.Int64
	f := newFleet(t, hang(&started, &canceled), hang(&started, &canceled))
	reply := do(t, f.request(t, http.MethodPost, "/orders"))
	assert.Equal(t, reply.header.Get("Samphire-Outcome"), "unknown")
	assert.Equal(t, started.Load(), int64(1))
}

func TestSuspectTargetGetsNoRequestThatMayNotBeRepeated(t *testing.T) {
	var started, canceled atomic.Int64
	f := newFleet(t, hang(&started, &canceled), http.HandlerFunc(answerReady))
	// Lookups show that one target hangs; each of them is served by the other one.
	for started.Load() < 3 {
		assert.Equal(t, do(t, f.request(t, http.MethodGet, "/lookups")).status, http.StatusOK)
	}
	for range 20 {
		assert.Equal(t, do(t, f.request(t, http.MethodPost, "/orders")).status, http.StatusOK)
	}
}

// slowBudget takes 5 s to refuse an extra attempt.
type slowBudget struct{}

func (slowBudget) CountRequest(budgeter.Request) {}

func (slowBudget) Acquire(ctx context.Context, _ budgeter.Extra) bool {
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
	}
	return false
}

// TestAnswerIsNotDelayedByTheSharedBudget has a target that answers while the entry waits for the shared budget to
// grant a hedge.
func TestAnswerIsNotDelayedByTheSharedBudget(t *testing.T) {
	noRetries := func() retrier.Policy {
		return retrier.Policy{FreeRetries: 8, Allowance: retrier.Allowance{Window: time.Minute}}
	}
	f := newFleetWith(t, noRetries, slowBudget{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		answerReady(w, r)
	}))
	began := time.Now()
	assert.Equal(t, do(t, f.request(t, http.MethodGet, "/lookups")).status, http.StatusOK)
	assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met")
		}
	}
}
