package breaker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/breaker"
)

// failing is a simulated target that answers a fraction of its requests with an error at once, while it fails.
type failing struct {
	breaker *breaker.Breaker
	ends    map[string]time.Time
	fails   func(now time.Time) bool
}

// cost is what a replay of failing targets has cost: repeatable requests that failed at a failing target, other requests
// that failed there, and the fraction of the time of sound targets in which they were held back.
type cost struct {
	trials   int
	others   int
	heldBack float64
}

const (
	failPeriod    = 9 * time.Second
	failTime      = 5 * time.Second
	failingErrors = 0.75
	soundErrors   = 0.012
	repeatable    = 0.25
	trialShare    = 0.4
)

// replayFailing simulates three minutes of a service in which each of the targets answers three quarters of its requests with
// an error, at once, in 5 s of each 9 s times their number: one at a time. A sound target fails 1.2 in 100. A quarter of the
// requests are repeatable. Two in five of these are first sent to a target that is not healthy, as entries do to find out when
// it has recovered. A request that is refused goes to another target.
func replayFailing(targets int, rate float64) cost {
	random := rand.New(rand.NewPCG(5, 6))
	all := make([]*failing, targets)
	for i := range all {
		all[i] = &failing{breaker.New(), make(map[string]time.Time), func(now time.Time) bool {
			since := now.Sub(start)
			return int(since/failPeriod)%targets == i && since%failPeriod < failTime
		}}
	}
	var result cost
	held, total := 0, 0
	const step = 5 * time.Millisecond
	for now := start; now.Before(start.Add(3 * time.Minute)); now = now.Add(step) {
		for _, target := range all {
			target.endServed(now)
			if !target.fails(now) {
				total++
				if (target.breaker.Verdict(now) != breaker.Healthy{}) {
					held++
				}
			}
		}
		if random.Float64() < rate*step.Seconds() {
			result = result.withRequest(now, random, all)
		}
	}
	result.heldBack = float64(held) / float64(total)
	return result
}

// withRequest sends a request to the first target that admits it, and returns the cost with it.
func (c cost) withRequest(now time.Time, random *rand.Rand, all []*failing) cost {
	healthyOnly, order := random.Float64() >= repeatable, random.Perm(len(all))
	if !healthyOnly && random.Float64() < trialShare {
		slices.SortStableFunc(order, func(a, b int) int { return severity(all[b].breaker, now) - severity(all[a].breaker, now) })
	}
	for _, i := range order {
		target := all[i]
		if !admitsRequest(target.breaker.Verdict(now), healthyOnly) {
			continue
		}
		if !target.run(now, random) || !target.fails(now) {
			return c
		}
		if healthyOnly {
			c.others++
		} else {
			c.trials++
		}
		return c
	}
	return c
}

// run starts a request, and reports whether it fails at once.
func (f *failing) run(now time.Time, random *rand.Rand) (failed bool) {
	id, share := fmt.Sprint(now.UnixNano()), soundErrors
	if f.fails(now) {
		share = failingErrors
	}
	f.breaker.Start(now, id, expect(now, mean))
	if random.Float64() < share {
		f.breaker.End(now, id, breaker.Failed{})
		return true
	}
	f.ends[id] = now.Add(randomDuration(random))
	return false
}

// endServed ends the requests that are due at now.
func (f *failing) endServed(now time.Time) {
	for id, end := range f.ends {
		if !now.Before(end) {
			f.breaker.End(now, id, breaker.Served{})
			delete(f.ends, id)
		}
	}
}

func severity(b *breaker.Breaker, now time.Time) int {
	if _, suspect := b.Verdict(now).(breaker.Suspect); suspect {
		return 1
	}
	return 0
}

func admitsRequest(verdict breaker.Verdict, healthyOnly bool) bool {
	switch verdict := verdict.(type) {
	case breaker.Doubtful:
		return !healthyOnly && verdict.TrialAllowed
	case breaker.Suspect:
		return !healthyOnly && verdict.TrialAllowed
	case breaker.Healthy:
	}
	return true
}

func TestTrialsOfFailingTargetsCostFewRequests(t *testing.T) {
	for _, c := range []struct {
		targets int
		rate    float64
	}{{4, 10}, {8, 30}, {17, 75}, {78, 450}, {200, 800}} {
		got := replayFailing(c.targets, c.rate)
		t.Logf("%d targets, %.0f/s: %+v", c.targets, c.rate, got)
		// Two failed requests to notice, and five trials in 5 s, of which three quarters fail.
		const failures = 20
		assert.Assert(t, got.trials+got.others <= 6*failures, "%d targets: %+v", c.targets, got)
	}
}
