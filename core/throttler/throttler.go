// Package throttler decides, for one entry and one service, whether a request should look for a slot in a remote region.
// An entry gets few reports on the targets there, so it takes them for idle.
//
// The package is designed for the case that both regions are full. Without it, each request would try the remote region,
// wait for a round trip and be refused, and the expensive low-bandwidth link between the regions would carry little
// else.
package throttler

import "time"

const (
	// minSuccessRate is the minimum success rate of earlier attempts. Below it, the round trip and the bandwidth are better
	// spent in the local region.
	minSuccessRate = 0.35
	// successWeight and refusalWeight are the weights of a new attempt in the success rate. Attempts are rare while they
	// fail, so a success weighs more.
	successWeight = 1.0 / 3
	refusalWeight = 1.0 / 8
	// probeInterval is the minimum time between two attempts while the success rate is too low. Such attempts detect when
	// slots are free again.
	probeInterval = 500 * time.Millisecond
)

// Throttle holds the success rate of earlier attempts. It is immutable. The zero value has a success rate of 1.
type Throttle struct {
	failureRate float64
	lastAttempt time.Time
}

// WithAttempt returns the throttle after an attempt that began at now.
func (t Throttle) WithAttempt(now time.Time) Throttle {
	t.lastAttempt = now
	return t
}

// WithResult returns the throttle after an attempt that found a slot or was refused.
func (t Throttle) WithResult(found bool) Throttle {
	if found {
		t.failureRate -= successWeight * t.failureRate
		return t
	}
	t.failureRate += refusalWeight * (1 - t.failureRate)
	return t
}

// SuccessRate returns the estimated probability, from 0 to 1, that an attempt finds a slot.
func (t Throttle) SuccessRate() float64 { return 1 - t.failureRate }

// Open reports whether attempts usually find a slot.
func (t Throttle) Open() bool { return t.SuccessRate() >= minSuccessRate }

// Allow reports whether a request may make an attempt at now.
func (t Throttle) Allow(now time.Time) bool {
	return t.Open() || now.Sub(t.lastAttempt) >= probeInterval
}
