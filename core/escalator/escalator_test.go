package escalator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/escalator"
)

// scopes returns the scopes of the first count attempts of a request that every target refuses.
func scopes(plan escalator.Plan, count int) []escalator.Scope {
	var all []escalator.Scope
	for range count {
		all = append(all, plan.Scope())
		plan, _ = plan.WithAttempt()
	}
	return all
}

func TestLightRequestTriesTheLocalRegionFirstAndSuspectTargetsLast(t *testing.T) {
	free := escalator.Scope{LocalRegion: true, Immediate: true}
	assert.DeepEqual(t, scopes(escalator.New(false), 9), []escalator.Scope{
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

func TestHeavyRequestStaysInTheLocalRegion(t *testing.T) {
	for i, scope := range scopes(escalator.New(true), 20) {
		assert.Assert(t, scope.LocalRegion, "attempt %d", i)
	}
}

func TestRequestWithoutTargetsReachesEveryStage(t *testing.T) {
	for name, plan := range map[string]escalator.Plan{
		"light": escalator.New(false), "heavy": escalator.New(true), "default": escalator.NewDefault(),
	} {
		last, allowedSuspect, retries := false, false, 0
		for steps := 0; !last; steps++ {
			assert.Assert(t, steps < 10, name)
			allowedSuspect = plan.Scope().AllowSuspect
			var retryRefused bool
			if plan, retryRefused, last = plan.WithoutTarget(); retryRefused {
				retries++
			}
		}
		assert.Assert(t, allowedSuspect, name)
		assert.Assert(t, retries >= 1, name)
	}
}

// TestRefusingTargetsAreRetriedOnceTheRequestMayWait checks that a request that found all targets full may then wait at
// any of them.
func TestRefusingTargetsAreRetriedOnceTheRequestMayWait(t *testing.T) {
	plan, waited := escalator.New(false), false
	for range 8 {
		previous := plan.Scope()
		var retryRefused bool
		plan, retryRefused = plan.WithAttempt()
		if previous.Immediate && !plan.Scope().Immediate {
			assert.Assert(t, retryRefused)
			waited = true
		}
	}
	assert.Assert(t, waited)
}
