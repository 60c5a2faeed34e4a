package simulator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/standin/pkg/simulator"
)

// floor is the fraction of a service's healthy targets that must get requests while some of its requests fail.
const floor = 0.7

// TestTargetsThatRecoveredStayIdle guards against targets of a large fleet that get no requests for long after a failure of
// some seconds.
func TestTargetsThatRecoveredStayIdle(t *testing.T) {
	for seed := range uint64(3) {
		for _, window := range simulator.Run(simulator.Default(seed)) {
			assert.Assert(t, !window.BelowFloor(floor), "seed %d: %+v", seed, window)
		}
	}
}
