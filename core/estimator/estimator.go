// Package estimator estimates how long a target takes to serve requests of one kind.
package estimator

import (
	"math"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new sample, as in the round-trip time estimate of TCP (Jacobson
	// 1988).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// highDeviations is the number of mean deviations above the mean that few requests exceed.
	highDeviations = 3
)

// Estimate is a moving mean of durations with its mean deviation. It is immutable. The zero value has no samples.
type Estimate struct {
	mean      float64
	deviation float64
}

// With returns the estimate after one more request, which took duration.
func (e Estimate) With(duration time.Duration) Estimate {
	sample := float64(duration)
	if e.mean == 0 {
		return Estimate{mean: sample, deviation: sample / 2}
	}
	difference := sample - e.mean
	e.mean += meanWeight * difference
	e.deviation += deviationWeight * (math.Abs(difference) - e.deviation)
	return e
}

// Known reports whether the estimate has any samples.
func (e Estimate) Known() bool { return e.mean > 0 }

// Mean returns the mean duration.
func (e Estimate) Mean() time.Duration { return time.Duration(e.mean) }

// High returns a duration that few requests exceed.
func (e Estimate) High() time.Duration { return time.Duration(e.mean + highDeviations*e.deviation) }
