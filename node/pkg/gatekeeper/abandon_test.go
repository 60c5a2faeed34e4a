package gatekeeper_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// TestWaiterThatGivesUpNeverRuns fills the slots of a target. Whatever ends the wait of a further request, it is told as
// not run, and the target must not run it once slots are free.
func TestWaiterThatGivesUpNeverRuns(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(100 * time.Millisecond) }
	for name, test := range map[string]struct {
		timeout time.Duration
		change  func(h *forwarder.Head)
	}{
		"caller left":        {20 * time.Millisecond, func(*forwarder.Head) {}},
		"part of objective":  {5 * time.Second, func(h *forwarder.Head) { h.ObjectiveDeadline = soon() }},
		"part of deadline":   {5 * time.Second, func(h *forwarder.Head) { h.Deadline = soon() }},
		"no time":            {5 * time.Second, func(h *forwarder.Head) { h.Deadline = time.Now() }},
		"needs a free slot":  {5 * time.Second, func(h *forwarder.Head) { h.Immediate = true }},
		"dropped from queue": {5 * time.Second, func(h *forwarder.Head) { h.Rank = 9 }},
	} {
		t.Run(name, func(t *testing.T) {
			var runs sync.Map
			release := make(chan struct{})
			end := sync.OnceFunc(func() { close(release) })
			defer end()
			gate := newGate(t, func(_ http.ResponseWriter, r *http.Request) {
				runs.Store(r.Header.Get("Samphire-Request"), true)
				<-release
			}, 1)
			withRequestID := func(id string) forwarder.Head {
				h := head(id, "w")
				h.RequestID, h.Rank = id, 1
				return h
			}
			var group errgroup.Group
			group.Go(func() error { return run(t.Context(), gate, withRequestID("first")) })
			for !gate.Running("first") {
				time.Sleep(time.Millisecond)
			}
			if name == "dropped from queue" {
				for i := range 8 {
					group.Go(func() error {
						_ = run(t.Context(), gate, withRequestID("waiter"+strconv.Itoa(i)))
						return nil
					})
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			given := withRequestID("given up")
			test.change(&given)
			refusal := refuser.From(run(ctx, gate, given))
			assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}))
			assert.Equal(t, refusal.Kind, refuser.CapacityShort)
			end()
			assert.NilError(t, group.Wait())
			assert.NilError(t, run(t.Context(), gate, withRequestID("last")))
			_, ran := runs.Load("given up")
			assert.Assert(t, !ran)
		})
	}
}

// TestDeadlineDuringTheRunLeavesTheOutcomeOpen has a target that is at work when the deadline passes or the caller leaves.
func TestDeadlineDuringTheRunLeavesTheOutcomeOpen(t *testing.T) {
	var runs atomic.Int64
	gate := newGate(t, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-r.Context().Done()
	}, 4)
	for name, test := range map[string]struct {
		ends func(ctx context.Context) (context.Context, context.CancelFunc)
		kind refuser.Kind
	}{
		"deadline": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		}, refuser.DeadlinePassed},
		"caller left": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		}, refuser.OutcomeUnknown},
	} {
		ctx, cancel := test.ends(t.Context())
		refusal := refuser.From(run(ctx, gate, head(name, "w")))
		cancel()
		assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.Unknown{}), name)
		assert.Equal(t, refusal.Kind, test.kind, name)
	}
	assert.Equal(t, runs.Load(), int64(2))
}

// TestTargetThatLeftGetsNothing covers targets that are unknown to their gate or leaving.
func TestTargetThatLeftGetsNothing(t *testing.T) {
	var runs atomic.Int64
	gate := newGate(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }, 1)
	gone := head("gone", "w")
	gone.Target = "b"
	leaving := head("leaving", "w")
	leaving.Target = "l"
	for _, h := range []forwarder.Head{gone, leaving} {
		refusal := refuser.From(run(t.Context(), gate, h))
		assert.Equal(t, refusal.Kind, refuser.TargetUnknown)
		assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}))
	}
	assert.Equal(t, runs.Load(), int64(0))
}
