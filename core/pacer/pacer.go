// Package pacer decides when the caller of a refused request should come back.
//
// The load pattern that it answers: for some seconds more requests come than can be served. Callers that are all told the
// same pause return together, and are refused together again.
package pacer

import (
	"math/rand/v2"
	"time"

	"samphiremount.example/core/refuser"
)

const (
	// minBackoff and mostPause bound what callers are asked for, usualPause is the mean where nothing better is known.
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	defaultBackoff = 200 * time.Millisecond
	// controlBackoff is the mean where a process waits for others: a lease of control or a version of the configuration.
	controlBackoff = time.Second
	// completionsPerSlot is the number of requests of each slot that end, on average, before a caller returns: fewer leave the queues that
	// refused it as they are.
	completionsPerSlot = 4
	// jitter is the part of the mean by which pauses differ from it at most.
	jitter = 0.5
)

// RetryAt returns from when on a caller should send a refused request again. Typical is how long such requests take on
// average, or 0 if that is not known. A time that the refusal names itself is kept.
func RetryAt(now time.Time, random *rand.Rand, refusal *refuser.Refusal, typical time.Duration) time.Time {
	least := now.Add(minBackoff)
	if refusal.RetryAt.After(least) {
		return refusal.RetryAt
	}
	if !refusal.RetryAt.IsZero() {
		return least
	}
	mean := defaultBackoff
	switch refusal.Kind {
	case refuser.ConfigurationStale, refuser.AllowanceShort, refuser.LeaderUnknown:
		mean = controlBackoff
	default:
		if typical > 0 {
			mean = completionsPerSlot * typical
		}
	}
	pause := time.Duration((1 + jitter*(2*random.Float64()-1)) * float64(mean))
	return now.Add(min(max(pause, minBackoff), maxBackoff))
}
