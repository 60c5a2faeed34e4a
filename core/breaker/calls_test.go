package breaker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/breaker"
)

// TestFailedCallsAreNotTheTargetsOwnFailures has runs of which every other one fails since a call did, with one failure of
// the target's own at the end.
func TestFailedCallsAreNotTheTargetsOwnFailures(t *testing.T) {
	b, calls, now := breaker.New(), breaker.Calls{}, start
	end := func(id string) {
		var result breaker.Result = breaker.Failed{}
		var explained bool
		if calls, explained = calls.Explain(now); explained {
			result = breaker.CallFailed{}
		}
		b.End(now, id, result)
	}
	for i := range 20 {
		id := fmt.Sprint(i)
		b.Start(now, id, expect(now, mean))
		now = now.Add(mean / 2)
		calls = calls.WithFailure(now)
		now = now.Add(time.Millisecond)
		end(id)
		assert.Equal(t, b.Verdict(now), breaker.Healthy{}, "run %d", i)
	}
	b.Start(now, "own", expect(now, mean))
	end("own")
	assert.Equal(t, b.Verdict(now), breaker.Doubtful{TrialAllowed: true})
}

// TestOldFailedCallExplainsNothing checks that a failed call explains one failure, for a short time.
func TestOldFailedCallExplainsNothing(t *testing.T) {
	calls := breaker.Calls{}.WithFailure(start)
	_, explained := calls.Explain(start.Add(100 * time.Millisecond))
	assert.Assert(t, !explained)
	calls, explained = calls.Explain(start.Add(99 * time.Millisecond))
	assert.Assert(t, explained)
	_, explained = calls.Explain(start)
	assert.Assert(t, !explained)
	for i := range 1000 {
		calls = calls.WithFailure(start.Add(time.Duration(i)))
	}
	count := 0
	for explained = true; explained; count++ {
		calls, explained = calls.Explain(start.Add(time.Millisecond))
	}
	assert.Equal(t, count-1, 64)
}
