// Package estimator estimates how long a target takes for requests of one kind.
package estimator

import (
	"math"
	"time"
)

// The weights of a new sample, as in the round-trip estimate of TCP (Jacobson 1988).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// highDeviations bounds how many deviations above the mean a request is that nearly all others are faster than.
	highDeviations = 3
)

// Estimate is a mean and a mean deviation. It is immutable; the zero value has seen nothing.
type Estimate struct {
	mean      float64
	deviation float64
}

// With returns the estimate after one more request took span.
func (e Estimate) With(span time.Duration) Estimate {
	sample := float64(span)
	if e.mean == 0 {
		return Estimate{mean: sample, deviation: sample / 2}
	}
	difference := sample - e.mean
	e.mean += meanWeight * difference
	e.deviation += deviationWeight * (math.Abs(difference) - e.deviation)
	return e
}

// Known reports whether the estimate has seen anything.
func (e Estimate) Known() bool { return e.mean > 0 }

// Mean returns the mean.
func (e Estimate) Mean() time.Duration { return time.Duration(e.mean) }

// High returns a span that few requests exceed.
func (e Estimate) High() time.Duration { return time.Duration(e.mean + highDeviations*e.deviation) }
