package allocator

import (
	"math"
	"time"
)

const (
	demandDecayTime = time.Second
	prefetchWindow  = 250 * time.Millisecond
)

// Demand estimates how many requests a second a node sees for one workspace: a rate that decays exponentially. It is
// immutable; the zero value has seen none.
type Demand struct {
	rate    float64
	updated time.Time
}

// With returns the demand after one more request at now.
func (d Demand) With(now time.Time) Demand {
	return Demand{rate: d.at(now) + 1/demandDecayTime.Seconds(), updated: now}
}

// Wanted returns how many tokens to ask for at now: those of a short time to come, or one.
func (d Demand) Wanted(now time.Time) int {
	return max(1, int(d.at(now)*prefetchWindow.Seconds()))
}

func (d Demand) at(now time.Time) float64 {
	return d.rate * math.Exp(-now.Sub(d.updated).Seconds()/demandDecayTime.Seconds())
}
