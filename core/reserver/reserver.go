// Package reserver reserves a slot of a target for nested calls: short requests that other targets send while they run
// a request of a caller (trunk reservation, as in Kelly 1991).
//
// It is made for load in which long requests of callers, some of which hang, take all slots of a service. Without a
// reserved slot, nested calls to that service are refused, and the requests that sent them fail after having held a
// slot of another service for nothing.
package reserver

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of the load.
	decayTime = 5 * time.Second
	// minLoad is the minimum load of nested calls, in slots, for which a slot is reserved.
	minLoad = 0.1
	// minSlots is the minimum number of slots of a target for which one is reserved. With fewer slots, one would be
	// too large a share.
	minSlots = 5
)

// Reserver estimates the load of nested calls on a target: the mean number of slots that they need. It is immutable;
// its zero value has a load of 0.
type Reserver struct {
	load    float64
	updated time.Time
}

// WithCall returns the Reserver after a nested call at now that takes about duration. Calls that find no free slot must
// be counted too.
func (r Reserver) WithCall(now time.Time, duration time.Duration) Reserver {
	return Reserver{load: r.at(now) + duration.Seconds()/decayTime.Seconds(), updated: now}
}

// Unreserved returns the number of the target's slots that requests other than nested calls may use at now.
func (r Reserver) Unreserved(now time.Time, slots int) int {
	if slots < minSlots || r.at(now) < minLoad {
		return slots
	}
	return slots - 1
}

// at returns the load at now, in slots.
func (r Reserver) at(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.load * math.Exp(-now.Sub(r.updated).Seconds()/decayTime.Seconds())
}
