package breaker_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/breaker"
)

const (
	mean      = 200 * time.Millisecond
	objective = 600 * time.Millisecond
)

var start = time.Unix(1000, 0)

func expect(now time.Time, mean time.Duration) breaker.Expectation {
	return breaker.Expectation{Mean: mean, SlowAt: now.Add(objective / 2), OverdueAt: now.Add(objective)}
}

func TestOverdueRequestsMakeTheTargetSuspect(t *testing.T) {
	b := breaker.New()
	assert.Equal(t, b.Verdict(start), breaker.Healthy{})
	b.Start(start, "a", expect(start, 0))
	assert.Equal(t, b.Verdict(start.Add(objective-1)), breaker.Healthy{})
	now := start.Add(objective)
	assert.Equal(t, b.Verdict(now), breaker.Doubtful{TrialAllowed: true})
	b.Start(now, "b", expect(now, 0))
	assert.Equal(t, b.Verdict(now), breaker.Doubtful{TrialAllowed: false})
	now = now.Add(objective)
	assert.Equal(t, b.Verdict(now), breaker.Suspect{TrialAllowed: true})
	b.Start(now, "trial", expect(now, 0))
	assert.Equal(t, b.Verdict(now.Add(time.Millisecond)), breaker.Suspect{NextTrial: now.Add(700 * time.Millisecond)})
	// After a trial is served, the next one may start at once. A few served trials make the target healthy again.
	b.End(now, "trial", breaker.Served{})
	for i := range 3 {
		id := fmt.Sprint(i)
		b.Start(now, id, expect(now, 0))
		b.End(now, id, breaker.Served{})
	}
	assert.Equal(t, b.Verdict(now), breaker.Healthy{})
}

func TestCanceledRequestCountsOnlyIfItWasSlow(t *testing.T) {
	b := breaker.New()
	cancel := func(after time.Duration) {
		b.Start(start, "a", expect(start, 0))
		b.End(start.Add(after), "a", breaker.Canceled{})
	}
	for range 10 {
		cancel(objective/2 - 1)
	}
	assert.Equal(t, b.Verdict(start.Add(time.Hour)), breaker.Healthy{})
	cancel(objective / 2)
	assert.Equal(t, b.Verdict(start.Add(time.Hour)), breaker.Healthy{})
	cancel(objective / 2)
	assert.Equal(t, b.Verdict(start.Add(time.Hour)), breaker.Doubtful{TrialAllowed: true})
}

func TestStallIsDetectedBeforeAnyRequestIsOverdue(t *testing.T) {
	b := breaker.New()
	for i := range 5 {
		b.Start(start, fmt.Sprint(i), expect(start, mean))
	}
	assert.Equal(t, b.Verdict(start.Add(150*time.Millisecond)), breaker.Healthy{})
	assert.Equal(t, b.Verdict(start.Add(200*time.Millisecond)), breaker.Doubtful{TrialAllowed: true})
	assert.Equal(t, b.Verdict(start.Add(350*time.Millisecond)), breaker.Suspect{TrialAllowed: true})
	b.End(start.Add(360*time.Millisecond), "0", breaker.Served{})
	assert.Equal(t, b.Verdict(start.Add(370*time.Millisecond)), breaker.Healthy{})
}

// target is a simulated target with its breaker. ends holds the end of each request in progress.
type target struct {
	breaker *breaker.Breaker
	ends    map[string]time.Time
	hung    func(now time.Time) bool
}

// randomDuration returns the random duration of a request: lognormal, with the mean of the constant mean.
func randomDuration(random *rand.Rand) time.Duration {
	const sigma = 0.6
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// replay simulates a minute of requests to 12 targets of 3 slots. Each target hangs on nine in ten requests for 4 s of
// each 12 s, so that a third of the targets hangs at any time. Requests end at their deadline at the latest. Three in
// ten requests are repeatable and may go to suspect targets too. replay returns the fraction of the others that were
// served.
func replay(withBreaker bool) float64 {
	const targets, slots, rate, repeatable, deadline = 12, 3, 40, 0.3, 2 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	var all []*target
	for i := range targets {
		all = append(all, &target{breaker: breaker.New(), ends: make(map[string]time.Time), hung: func(now time.Time) bool {
			return (now.Sub(start).Milliseconds()/4000+int64(i))%3 == 0
		}})
	}
	served, sent := 0, 0
	const step = 5 * time.Millisecond
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
		for _, t := range all {
			served += t.end(now)
		}
		if random.Float64() >= rate*step.Seconds() {
			continue
		}
		healthyOnly := random.Float64() >= repeatable
		if healthyOnly {
			sent++
		}
		for _, i := range random.Perm(targets) {
			if t := all[i]; len(t.ends) < slots && (!withBreaker || t.admits(now, healthyOnly)) {
				t.start(now, random, fmt.Sprint(now.UnixNano()), healthyOnly, deadline)
				break
			}
		}
	}
	return float64(served) / float64(sent)
}

// admits reports whether a request is admitted. healthyOnly is set for a request that is not repeatable.
func (t *target) admits(now time.Time, healthyOnly bool) bool {
	return admitsRequest(t.breaker.Verdict(now), healthyOnly)
}

func (t *target) start(now time.Time, random *rand.Rand, id string, healthyOnly bool, deadline time.Duration) {
	kind, end := "repeatable", now.Add(randomDuration(random))
	if healthyOnly {
		kind = "healthyOnly"
	}
	if t.hung(now) && random.Float64() < 0.9 {
		kind, end = "hung", now.Add(deadline)
	}
	id = kind + id
	t.ends[id] = end
	t.breaker.Start(now, id, expect(now, mean))
}

// end ends the requests that are due at now, and returns how many healthyOnly requests were served.
func (t *target) end(now time.Time) (served int) {
	for id, end := range t.ends {
		if now.Before(end) {
			continue
		}
		delete(t.ends, id)
		if strings.HasPrefix(id, "hung") {
			t.breaker.End(now, id, breaker.Failed{})
			continue
		}
		if strings.HasPrefix(id, "healthyOnly") {
			served++
		}
		t.breaker.End(now, id, breaker.Served{})
	}
	return served
}

// TestHangingTargetsCostFewRequests compares the fraction of served requests with and without breakers while targets
// hang in turn.
func TestHangingTargetsCostFewRequests(t *testing.T) {
	without, with := replay(false), replay(true)
	t.Logf("served %.3f without and %.3f with breakers", without, with)
	assert.Assert(t, 1-with < 0.6*(1-without))
}

// TestHealthyTargetIsHardlyEverSuspect simulates a busy target that serves all requests. It may be suspect in less than
// 1% of the time.
func TestHealthyTargetIsHardlyEverSuspect(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	b := breaker.New()
	ends := make(map[string]time.Time)
	suspected, steps := 0, 0
	const step = 5 * time.Millisecond
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(step) {
		steps++
		for id, end := range ends {
			if !now.Before(end) {
				b.End(now, id, breaker.Served{})
				delete(ends, id)
			}
		}
		if len(ends) < 3 && random.Float64() < 0.06 {
			id := fmt.Sprint(steps)
			ends[id] = now.Add(randomDuration(random))
			b.Start(now, id, expect(now, mean))
		}
		if _, ok := b.Verdict(now).(breaker.Suspect); ok {
			suspected++
		}
	}
	assert.Assert(t, suspected*100 < steps, "suspect in %d of %d steps", suspected, steps)
}
