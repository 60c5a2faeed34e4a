// Package monitor remembers, for one entry node, which other nodes it reaches. Control cannot know that: a path may be
// cut or lose packets between two nodes that both hear control, and one that control lost may well be reached.
//
// The load pattern that it answers: each entry loses the path to some of the gates for seconds, and each request that is
// sent there costs the time to find that out once more.
package monitor

import "time"

const (
	// initialBackoff is how long a node is avoided after the first failure to reach it. The pause doubles with each further
	// one, up to maxPause.
	initialBackoff = time.Second
	maxBackoff     = 8 * time.Second

	// minTimeout and mostLimit bound how long the first sign of life of a gate is waited for, and unknownLimit is the
	// bound before any was seen. The limit is limitFactor times what it took lately.
	minTimeout     = 80 * time.Millisecond
	maxTimeout     = 600 * time.Millisecond
	defaultTimeout = 300 * time.Millisecond
	timeoutFactor  = 4
	// rttWeight is the weight of a new round trip in the mean.
	rttWeight = 0.25
)

// Path is what is known of the way to one node. It is immutable; the zero value knows nothing.
type Path struct {
	rtt         time.Duration
	backoff     time.Duration
	avoidUntil  time.Time
	lastReached time.Time
}

// WithSuccess returns the path after the node's first sign of life came at now, trip after the request was sent.
func (p Path) WithSuccess(now time.Time, trip time.Duration) Path {
	if p.rtt == 0 {
		p.rtt = trip
	}
	p.rtt += time.Duration(rttWeight * float64(trip-p.rtt))
	p.backoff, p.avoidUntil, p.lastReached = 0, time.Time{}, now
	return p
}

// WithFailure returns the path after the node could not be reached at now.
func (p Path) WithFailure(now time.Time) Path {
	if now.Before(p.avoidUntil) {
		// Requests that were sent before the path was known as bad tell nothing new.
		return p
	}
	p.backoff = min(max(2*p.backoff, initialBackoff), maxBackoff)
	p.avoidUntil = now.Add(p.backoff)
	return p
}

// Avoided reports whether requests should go elsewhere at now.
func (p Path) Avoided(now time.Time) bool { return now.Before(p.avoidUntil) }

// Timeout returns how long to wait for the node's first sign of life.
func (p Path) Timeout() time.Duration {
	if p.rtt == 0 {
		return defaultTimeout
	}
	return min(max(timeoutFactor*p.rtt, minTimeout), maxTimeout)
}
