package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/estimator"
)

func TestFewRequestsExceedHigh(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	randomDuration := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(100*time.Millisecond)) }
	var e estimator.Estimate
	assert.Assert(t, !e.Known())
	exceeded, sum := 0, time.Duration(0)
	for i := range 10_000 {
		duration := randomDuration()
		if i > 100 && duration > e.High() {
			exceeded++
		}
		e = e.With(duration)
		sum += e.Mean()
	}
	assert.Assert(t, exceeded < 800, "%d of 10000", exceeded)
	mean := sum / 10_000
	assert.Assert(t, mean > 90*time.Millisecond && mean < 110*time.Millisecond, "%v", mean)
}
