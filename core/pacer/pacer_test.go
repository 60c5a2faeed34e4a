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

func TestKnownTimeIsKept(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	known := refusal(refuser.RateExceeded)
	known.RetryAt = start.Add(700 * time.Millisecond)
	assert.Equal(t, pacer.RetryAt(start, random, known, time.Second), known.RetryAt)
	known.RetryAt = start.Add(-time.Second)
	assert.Assert(t, pacer.RetryAt(start, random, known, time.Second).After(start))
}

func TestPauseFollowsHowLongRequestsTake(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	mean := func(kind refuser.Kind, typical time.Duration) time.Duration {
		var sum time.Duration
		for range 1000 {
			sum += pacer.RetryAt(start, random, refusal(kind), typical).Sub(start)
		}
		return (sum / 1000).Round(50 * time.Millisecond)
	}
	assert.Equal(t, mean(refuser.CapacityShort, 0), 200*time.Millisecond)
	assert.Equal(t, mean(refuser.CapacityShort, 150*time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, mean(refuser.CapacityShort, time.Hour), 2*time.Second)
	assert.Equal(t, mean(refuser.ConfigurationStale, 150*time.Millisecond), time.Second)
}

// simulate lets a burst of 200 requests meet 20 slots that a request holds for 300 ms. Those that find none come back after
// pause, at most 4 times. It returns how many are served.
func simulate(pause func(now time.Time) time.Time) (served int) {
	const slots, span, most = 20, 300 * time.Millisecond, 4
	type request struct {
		at    time.Time
		tries int
	}
	waiting := make([]request, 200)
	for i := range waiting {
		waiting[i].at = start
	}
	var ends []time.Time
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
		var busy []time.Time
		for _, end := range ends {
			if now.Before(end) {
				busy = append(busy, end)
			}
		}
		ends = busy
		var rest []request
		for _, r := range waiting {
			switch {
			case now.Before(r.at):
				rest = append(rest, r)
			case len(ends) < slots:
				ends = append(ends, now.Add(span))
				served++
			case r.tries < most:
				rest = append(rest, request{pause(now), r.tries + 1})
			}
		}
		waiting = rest
	}
	return served
}

// TestSpreadReturnsAreServedMoreOften replays the load pattern that the decision answers.
func TestSpreadReturnsAreServedMoreOften(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	fixed := simulate(func(now time.Time) time.Time { return now.Add(200 * time.Millisecond) })
	spread := simulate(func(now time.Time) time.Time {
		return pacer.RetryAt(now, random, refusal(refuser.CapacityShort), 300*time.Millisecond)
	})
	t.Logf("%d served after a fixed pause, %d after spread ones", fixed, spread)
	assert.Assert(t, 4*spread > 5*fixed)
}
