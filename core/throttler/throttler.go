// Package throttler decides, for one entry and one service, whether a request should look for a slot in another region. An
// entry hardly hears of the targets there, so those count as idle for it.
//
// The load pattern that it answers: both regions are full. Each request then tries the other one, waits for a way there and
// back, and is refused; the link, which is narrow and dear, carries little else.
package throttler

import "time"

const (
	// minSuccessRate is the part of the earlier tries that must have found a slot. Below it the time and the bytes of the way are
	// better spent nearby.
	minSuccessRate = 0.35
	// successWeight and refusedWeight are those of a new try in the odds. Tries are few while they fail, so one that finds a
	// slot says more.
	successWeight = 1.0 / 3
	refusalWeight = 1.0 / 8
	// probeInterval is the least time between two tries against the odds, which show when there is room again.
	probeInterval = 500 * time.Millisecond
)

// Throttle is how earlier tries ended. It is immutable; the zero value expects room.
type Throttle struct {
	failureRate float64
	lastAttempt time.Time
}

// WithAttempt returns the prospect after a try began at now.
func (p Throttle) WithAttempt(now time.Time) Throttle {
	p.lastAttempt = now
	return p
}

// WithResult returns the prospect after a try found a slot or was refused.
func (p Throttle) WithResult(found bool) Throttle {
	if found {
		p.failureRate -= successWeight * p.failureRate
		return p
	}
	p.failureRate += refusalWeight * (1 - p.failureRate)
	return p
}

// SuccessRate returns about how likely a try finds a slot.
func (p Throttle) SuccessRate() float64 { return 1 - p.failureRate }

// Allow reports whether a request should try at now.
func (p Throttle) Allow(now time.Time) bool {
	return p.SuccessRate() >= minSuccessRate || now.Sub(p.lastAttempt) >= probeInterval
}
