package escalator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/escalator"
)

// tries returns how the tries of a request look that every target refuses.
func tries(plan escalator.Plan, count int) []escalator.Scope {
	var all []escalator.Scope
	for range count {
		all = append(all, plan.Scope())
		plan, _ = plan.WithAttempt()
	}
	return all
}

func TestLightRequestLooksNearbyFirstAndInsistsLast(t *testing.T) {
	free := escalator.Scope{LocalRegion: true, Immediate: true}
	assert.DeepEqual(t, tries(escalator.New(false), 9), []escalator.Scope{
		free,
		free,
		free,
		{Immediate: true},
		{LocalRegion: true},
		{LocalRegion: true},
		{AllowSuspect: true},
		{AllowSuspect: true},
		{AllowSuspect: true},
	})
}

func TestHeavyRequestNeverCrossesForLoad(t *testing.T) {
	for i, try := range tries(escalator.New(true), 20) {
		assert.Assert(t, try.LocalRegion, "try %d", i)
	}
}

func TestWithoutTargetEveryStageIsReached(t *testing.T) {
	for name, plan := range map[string]escalator.Plan{
		"light": escalator.New(false), "heavy": escalator.New(true), "plain": escalator.NewDefault(),
	} {
		last, insisted, again := false, false, 0
		for steps := 0; !last; steps++ {
			assert.Assert(t, steps < 10, name)
			insisted = plan.Scope().AllowSuspect
			var anew bool
			if plan, anew, last = plan.WithoutTarget(); anew {
				again++
			}
		}
		assert.Assert(t, insisted, name)
		assert.Assert(t, again >= 1, name)
	}
}

// TestTargetsAreTriedAgainOnceTheRequestWaits checks that a request which found all targets full may wait at any.
func TestTargetsAreTriedAgainOnceTheRequestWaits(t *testing.T) {
	plan, waits := escalator.New(false), false
	for range 8 {
		was := plan.Scope()
		var anew bool
		plan, anew = plan.WithAttempt()
		if was.Immediate && !plan.Scope().Immediate {
			assert.Assert(t, anew)
			waits = true
		}
	}
	assert.Assert(t, waits)
}
