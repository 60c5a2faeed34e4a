package allocator

import (
	"math"
	"time"
)

const (
	// demandDecayTime is the time constant of the exponential decay.
	demandDecayTime = time.Second
	// prefetchWindow is the time for which a request for tokens covers the expected demand.
	prefetchWindow = 250 * time.Millisecond
)

// Demand estimates the requests per second of one workspace on a node, with exponential decay. It is immutable; its
// zero value has counted no request.
type Demand struct {
	rate    float64
	updated time.Time
}

// With returns the demand after one more request at now.
func (d Demand) With(now time.Time) Demand {
	return Demand{rate: d.at(now) + 1/demandDecayTime.Seconds(), updated: now}
}

// Wanted returns the number of tokens to ask for at now: the expected demand of prefetchWindow, but at least one.
func (d Demand) Wanted(now time.Time) int {
	return max(1, int(d.at(now)*prefetchWindow.Seconds()))
}

// at returns the estimate at now.
func (d Demand) at(now time.Time) float64 {
	return d.rate * math.Exp(-now.Sub(d.updated).Seconds()/demandDecayTime.Seconds())
}
