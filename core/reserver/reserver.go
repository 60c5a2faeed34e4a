// Package reserver keeps slots of a target for inner calls: short requests that other targets make while they run a request
// of a caller (trunk reservation, as in Kelly 1991).
//
// The load pattern that it answers: long requests of callers, some of which hang, take all slots of a service. The short
// calls to it are refused, and the requests that made them fail after they held a slot of another service for nothing.
package reserver

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which earlier calls are forgotten.
	decayTime = 5 * time.Second
	// minLoad is the number of slots that inner calls must need on average for one to be kept.
	minLoad = 0.1
	// minSlots is the number of slots from which on one is kept: of fewer it would be too large a part.
	minSlots = 5
)

// Reserver is how many of a target's slots inner calls need on average. It is immutable; the zero value knows of none.
type Reserver struct {
	load    float64
	updated time.Time
}

// WithCall returns the Reserver after an inner call came at now that takes about span. Calls that find no slot count too.
func (r Reserver) WithCall(now time.Time, span time.Duration) Reserver {
	return Reserver{load: r.at(now) + span.Seconds()/decayTime.Seconds(), updated: now}
}

// Unreserved returns how many of the target's slots other requests may use at now.
func (r Reserver) Unreserved(now time.Time, slots int) int {
	if slots < minSlots || r.at(now) < minLoad {
		return slots
	}
	return slots - 1
}

// at returns the load at now.
func (r Reserver) at(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.load * math.Exp(-now.Sub(r.updated).Seconds()/decayTime.Seconds())
}
