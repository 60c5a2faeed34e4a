package acceptor_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/retrier"
)

// hang answers nothing until its caller leaves.
func hang(started, left *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-r.Context().Done()
		left.Add(1)
	})
}

func ready(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ready") }

func TestRequestThatHangsIsAnsweredByAnotherTarget(t *testing.T) {
	var started, left atomic.Int64
	f := newFleet(t, hang(&started, &left), http.HandlerFunc(ready), http.HandlerFunc(ready))
	for range 12 {
		began := time.Now()
		reply := do(t, f.request(t, http.MethodGet, "/lookups"))
		assert.Equal(t, reply.status, http.StatusOK)
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	}
	assert.Assert(t, started.Load() > 0, "no request met the target that hangs")
	// The target learns that nobody waits for its answer any more.
	waitFor(t, func() bool { return left.Load() == started.Load() })
}

func TestRequestThatMayNotBeRepeatedReachesOneTarget(t *testing.T) {
	var started, left atomic.Int64
	f := newFleet(t, hang(&started, &left), hang(&started, &left))
	reply := do(t, f.request(t, http.MethodPost, "/orders"))
	assert.Equal(t, reply.header.Get("Samphire-Outcome"), "unknown")
	assert.Equal(t, started.Load(), int64(1))
}

func TestSuspectTargetGetsNoRequestThatMayNotBeRepeated(t *testing.T) {
	var started, left atomic.Int64
	f := newFleet(t, hang(&started, &left), http.HandlerFunc(ready))
	// Lookups show that one target hangs; each of them is served by the other one.
	for started.Load() < 3 {
		assert.Equal(t, do(t, f.request(t, http.MethodGet, "/lookups")).status, http.StatusOK)
	}
	for range 20 {
		assert.Equal(t, do(t, f.request(t, http.MethodPost, "/orders")).status, http.StatusOK)
	}
}

// silentBudget takes long to answer.
type silentBudget struct{}

func (silentBudget) CountRequest(string)    {}
func (silentBudget) Charge(string, float64) {}

func (silentBudget) Acquire(ctx context.Context, _ string) bool {
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
	}
	return false
}

// TestAnswerIsNotHeldUpByTheSharedBudget has a target that answers while the entry asks for the grant of a hedge.
func TestAnswerIsNotHeldUpByTheSharedBudget(t *testing.T) {
	unpaid := func() retrier.Policy {
		return retrier.Policy{FreeRetries: 8, Allowance: retrier.Allowance{Window: time.Minute}}
	}
	f := newFleetWith(t, unpaid, silentBudget{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		ready(w, r)
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
