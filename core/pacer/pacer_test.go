package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/pacer"
	"samphiremount.example/core/refuser"
)

var start = time.Unix(1000, 0)

func refusal(kind refuser.Kind) *refuser.Refusal {
	return refuser.From(refuser.Refuse(kind, ""))
}

func TestRetryAtOfRefusalHasPrecedence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	known := refusal(refuser.RateExceeded)
	known.RetryAt = start.Add(700 * time.Millisecond)
	assert.Equal(t, pacer.RetryAt(start, random, known, time.Second), known.RetryAt)
	known.RetryAt = start.Add(-time.Second)
	assert.Assert(t, pacer.RetryAt(start, random, known, time.Second).After(start))
}

func TestMeanBackoffFollowsRequestDuration(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	meanBackoff := func(kind refuser.Kind, meanDuration time.Duration) time.Duration {
		var sum time.Duration
		for range 1000 {
			sum += pacer.RetryAt(start, random, refusal(kind), meanDuration).Sub(start)
		}
		return (sum / 1000).Round(50 * time.Millisecond)
	}
	assert.Equal(t, meanBackoff(refuser.CapacityShort, 0), 200*time.Millisecond)
	assert.Equal(t, meanBackoff(refuser.CapacityShort, 150*time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, meanBackoff(refuser.CapacityShort, time.Hour), 2*time.Second)
	assert.Equal(t, meanBackoff(refuser.ConfigurationStale, 150*time.Millisecond), time.Second)
}

// simulate sends a burst of 200 requests to 20 slots; each request holds a slot for 300 ms. Requests that find no free
// slot are retried at retryAt, at most 4 times. It returns the number of requests served.
func simulate(retryAt func(now time.Time) time.Time) (served int) {
	const slots, duration, maxRetries = 20, 300 * time.Millisecond, 4
	type request struct {
		at      time.Time
		retries int
	}
	pending := make([]request, 200)
	for i := range pending {
		pending[i].at = start
	}
	var completions []time.Time
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
		var busy []time.Time
		for _, completion := range completions {
			if now.Before(completion) {
				busy = append(busy, completion)
			}
		}
		completions = busy
		var remaining []request
		for _, r := range pending {
			switch {
			case now.Before(r.at):
				remaining = append(remaining, r)
			case len(completions) < slots:
				completions = append(completions, now.Add(duration))
				served++
			case r.retries < maxRetries:
				remaining = append(remaining, request{retryAt(now), r.retries + 1})
			}
		}
		pending = remaining
	}
	return served
}

// TestJitterServesMoreOfABurst guards against retries that arrive together, and so are refused together again, after a
// burst above the capacity.
func TestJitterServesMoreOfABurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	fixed := simulate(func(now time.Time) time.Time { return now.Add(200 * time.Millisecond) })
	jittered := simulate(func(now time.Time) time.Time {
		return pacer.RetryAt(now, random, refusal(refuser.CapacityShort), 300*time.Millisecond)
	})
	t.Logf("%d served with a fixed backoff, %d with jitter", fixed, jittered)
	assert.Assert(t, 4*jittered > 5*fixed)
}
