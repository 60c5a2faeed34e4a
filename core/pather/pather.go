// Package pather remembers, for one entry node, which other nodes it reaches. Control cannot know that: a path may be
// cut or lose packets between two nodes that both hear control, and one that control lost may well be reached.
//
// The load pattern that it answers: each entry loses the path to some of the gates for seconds, and each request that is
// sent there costs the time to find that out once more.
package pather

import "time"

const (
	// firstPause is how long a node is avoided after the first failure to reach it. The pause doubles with each further
	// one, up to maxPause.
	firstPause = time.Second
	maxPause   = 8 * time.Second

	// leastLimit and mostLimit bound how long the first sign of life of a gate is waited for, and unknownLimit is the
	// bound before any was seen. The limit is limitFactor times what it took lately.
	leastLimit   = 80 * time.Millisecond
	mostLimit    = 600 * time.Millisecond
	unknownLimit = 300 * time.Millisecond
	limitFactor  = 4
	// newWeight is the weight of a new round trip in the mean.
	newWeight = 0.25
)

// Path is what is known of the way to one node. It is immutable; the zero value knows nothing.
type Path struct {
	trip    time.Duration
	pause   time.Duration
	bad     time.Time
	reached time.Time
}

// WithReached returns the path after the node's first sign of life came at now, trip after the request was sent.
func (p Path) WithReached(now time.Time, trip time.Duration) Path {
	if p.trip == 0 {
		p.trip = trip
	}
	p.trip += time.Duration(newWeight * float64(trip-p.trip))
	p.pause, p.bad, p.reached = 0, time.Time{}, now
	return p
}

// WithFailure returns the path after the node could not be reached at now.
func (p Path) WithFailure(now time.Time) Path {
	if now.Before(p.bad) {
		// Requests that were sent before the path was known as bad tell nothing new.
		return p
	}
	p.pause = min(max(2*p.pause, firstPause), maxPause)
	p.bad = now.Add(p.pause)
	return p
}

// Avoided reports whether requests should go elsewhere at now.
func (p Path) Avoided(now time.Time) bool { return now.Before(p.bad) }

// Limit returns how long to wait for the node's first sign of life.
func (p Path) Limit() time.Duration {
	if p.trip == 0 {
		return unknownLimit
	}
	return min(max(limitFactor*p.trip, leastLimit), mostLimit)
}
