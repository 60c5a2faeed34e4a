// Package pacer decides when the caller of a refused request should retry it.
//
// It is made for overload that lasts some seconds: callers that all back off for the same time retry together and are
// refused together again, so the backoff has jitter.
package pacer

import (
	"math/rand/v2"
	"time"

	"samphiremount.example/core/refuser"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// defaultBackoff is the mean backoff if the duration of requests is not known.
	defaultBackoff = 200 * time.Millisecond
	// controlBackoff is the mean backoff if the node waits for control: for a leader, a lease of tokens or a version of
	// the configuration.
	controlBackoff = time.Second
	// completionsPerSlot is the mean number of requests that each slot completes before the caller retries. After
	// fewer, the queues that refused the request would be as full as before.
	completionsPerSlot = 4
	// jitter is the maximum deviation of a backoff from the mean, as a fraction of the mean.
	jitter = 0.5
)

// RetryAt returns the earliest time at which the caller should retry a refused request. A RetryAt of the refusal itself
// has precedence, but is at least minBackoff away. Otherwise the time is random, around a mean that is based on
// meanDuration, the mean duration of such requests, or 0 if that is not known.
func RetryAt(now time.Time, random *rand.Rand, refusal *refuser.Refusal, meanDuration time.Duration) time.Time {
	earliest := now.Add(minBackoff)
	if refusal.RetryAt.After(earliest) {
		return refusal.RetryAt
	}
	if !refusal.RetryAt.IsZero() {
		return earliest
	}
	meanBackoff := defaultBackoff
	switch refusal.Kind {
	case refuser.ConfigurationStale, refuser.AllowanceShort, refuser.LeaderUnknown:
		meanBackoff = controlBackoff
	default:
		if meanDuration > 0 {
			meanBackoff = completionsPerSlot * meanDuration
		}
	}
	backoff := time.Duration((1 + jitter*(2*random.Float64()-1)) * float64(meanBackoff))
	return now.Add(min(max(backoff, minBackoff), maxBackoff))
}
