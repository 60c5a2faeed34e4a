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
	typical   = 200 * time.Millisecond
	objective = 600 * time.Millisecond
)

var start = time.Unix(1000, 0)

func expect(now time.Time, typical time.Duration) breaker.Expectation {
	return breaker.Expectation{Mean: typical, SlowAt: now.Add(objective / 2), OverdueAt: now.Add(objective)}
}

func TestVerdictFollowsOverdueRequests(t *testing.T) {
	s := breaker.New()
	assert.Equal(t, s.Verdict(start), breaker.Healthy{})
	s.Start(start, "a", expect(start, 0))
	assert.Equal(t, s.Verdict(start.Add(objective-1)), breaker.Healthy{})
	now := start.Add(objective)
	assert.Equal(t, s.Verdict(now), breaker.Doubtful{})
	s.Start(now, "b", expect(now, 0))
	now = now.Add(objective)
	assert.Equal(t, s.Verdict(now), breaker.Suspect{TrialAllowed: true})
	s.Start(now, "trial", expect(now, 0))
	assert.Equal(t, s.Verdict(now.Add(time.Millisecond)), breaker.Suspect{TrialAllowed: false})
	// A trial that went well is followed by another one at once, and three of them clear the target.
	s.End(now, "trial", breaker.Served{})
	for i := range 3 {
		id := fmt.Sprint(i)
		s.Start(now, id, expect(now, 0))
		s.End(now, id, breaker.Served{})
	}
	assert.Equal(t, s.Verdict(now), breaker.Healthy{})
}

func TestWithdrawnRequestCountsOnlyIfItWasSlow(t *testing.T) {
	s := breaker.New()
	withdraw := func(after time.Duration) {
		s.Start(start, "a", expect(start, 0))
		s.End(start.Add(after), "a", breaker.Canceled{})
	}
	for range 10 {
		withdraw(objective/2 - 1)
	}
	assert.Equal(t, s.Verdict(start.Add(time.Hour)), breaker.Healthy{})
	withdraw(objective / 2)
	assert.Equal(t, s.Verdict(start.Add(time.Hour)), breaker.Healthy{})
	withdraw(objective / 2)
	assert.Equal(t, s.Verdict(start.Add(time.Hour)), breaker.Doubtful{})
}

func TestStallShowsBeforeAnyRequestIsOverdue(t *testing.T) {
	s := breaker.New()
	for i := range 5 {
		s.Start(start, fmt.Sprint(i), expect(start, typical))
	}
	assert.Equal(t, s.Verdict(start.Add(150*time.Millisecond)), breaker.Healthy{})
	assert.Equal(t, s.Verdict(start.Add(200*time.Millisecond)), breaker.Doubtful{})
	assert.Equal(t, s.Verdict(start.Add(350*time.Millisecond)), breaker.Suspect{TrialAllowed: true})
	s.End(start.Add(360*time.Millisecond), "0", breaker.Served{})
	assert.Equal(t, s.Verdict(start.Add(370*time.Millisecond)), breaker.Healthy{})
}

// target is a simulated target with a suspector before it.
type target struct {
	suspector *breaker.Breaker
	ends      map[string]time.Time
	hung      func(now time.Time) bool
}

// span draws how long a request takes: lognormal, with the mean of typical.
func span(random *rand.Rand) time.Duration {
	const sigma = 0.6
	return time.Duration(float64(typical) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// replay sends requests for a minute to targets of 3 slots, of which a third hangs on nine in ten requests for 4 of each
// 12 s. Three in ten may be repeated: they are tried on suspect targets too. It returns the part of the others that were
// served. Requests end at their deadline at the latest.
func replay(judge bool) float64 {
	const targets, slots, rate, repeatable, deadline = 12, 3, 40, 0.3, 2 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	var all []*target
	for i := range targets {
		all = append(all, &target{suspector: breaker.New(), ends: make(map[string]time.Time), hung: func(now time.Time) bool {
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
		careful := random.Float64() >= repeatable
		if careful {
			sent++
		}
		for _, i := range random.Perm(targets) {
			if t := all[i]; len(t.ends) < slots && (!judge || t.admits(now, careful)) {
				t.start(now, random, fmt.Sprint(now.UnixNano()), careful, deadline)
				break
			}
		}
	}
	return float64(served) / float64(sent)
}

// admits reports whether a request that must not fail, or another one, is let in.
func (t *target) admits(now time.Time, careful bool) bool {
	switch verdict := t.suspector.Verdict(now).(type) {
	case breaker.Doubtful:
		return !careful
	case breaker.Suspect:
		return !careful && verdict.TrialAllowed
	case breaker.Healthy:
	}
	return true
}

func (t *target) start(now time.Time, random *rand.Rand, id string, careful bool, deadline time.Duration) {
	kind, end := "repeatable", now.Add(span(random))
	if careful {
		kind = "careful"
	}
	if t.hung(now) && random.Float64() < 0.9 {
		kind, end = "hung", now.Add(deadline)
	}
	id = kind + id
	t.ends[id] = end
	t.suspector.Start(now, id, expect(now, typical))
}

// end ends the requests that are due and returns how many that must not fail were served.
func (t *target) end(now time.Time) (served int) {
	for id, end := range t.ends {
		if now.Before(end) {
			continue
		}
		delete(t.ends, id)
		if strings.HasPrefix(id, "hung") {
			t.suspector.End(now, id, breaker.Failed{})
			continue
		}
		if strings.HasPrefix(id, "careful") {
			served++
		}
		t.suspector.End(now, id, breaker.Served{})
	}
	return served
}

// TestHangingTargetsCostFewRequests replays the load pattern that the suspector answers, without and with it.
func TestHangingTargetsCostFewRequests(t *testing.T) {
	without, with := replay(false), replay(true)
	t.Logf("served %.3f without and %.3f with the judgement", without, with)
	assert.Assert(t, 1-with < 0.6*(1-without))
}

// TestSoundTargetIsHardlySuspected feeds a busy target whose requests all end.
func TestSoundTargetIsHardlySuspected(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	s := breaker.New()
	ends := make(map[string]time.Time)
	suspected, steps := 0, 0
	const step = 5 * time.Millisecond
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(step) {
		steps++
		for id, end := range ends {
			if !now.Before(end) {
				s.End(now, id, breaker.Served{})
				delete(ends, id)
			}
		}
		if len(ends) < 3 && random.Float64() < 0.06 {
			id := fmt.Sprint(steps)
			ends[id] = now.Add(span(random))
			s.Start(now, id, expect(now, typical))
		}
		if _, ok := s.Verdict(now).(breaker.Suspect); ok {
			suspected++
		}
	}
	assert.Assert(t, suspected*100 < steps, "suspect in %d of %d steps", suspected, steps)
}
