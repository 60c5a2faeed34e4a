package sampler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/sampler"
)

// TestRateOfATrialDependsNeitherOnEntriesNorOnLoad counts the requests of 100 s that fleets of different sizes send to a
// target on trial. At one request in each interval, they are 200; five standard deviations are 71.
func TestRateOfATrialDependsNeitherOnEntriesNorOnLoad(t *testing.T) {
	const seconds = 100
	for _, fleet := range []struct {
		entries int
		// rate is in requests per second and entry.
		rate float64
	}{{4, 100}, {83, 1.5}, {83, 50}, {860, 20}} {
		random := rand.New(rand.NewPCG(1, uint64(fleet.entries)))
		start, count := time.Unix(1000, 0), 0
		for range fleet.entries {
			pace := sampler.New(start, random, fleet.entries)
			for now := start; now.Before(start.Add(seconds * time.Second)); {
				now = now.Add(time.Duration(random.ExpFloat64() / fleet.rate * float64(time.Second)))
				if pace.Due(now) {
					count++
					pace = sampler.New(now, random, fleet.entries)
				}
			}
		}
		assert.Assert(t, count > 200-71 && count < 200+71, "%+v: %d", fleet, count)
	}
}
