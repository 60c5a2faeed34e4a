// Package monitor records, for one entry node, which other nodes it can reach. The control processes cannot know that:
// two nodes may both be in contact with control while the path between them is partitioned or loses packets, and a node
// that control has lost may still be reachable.
//
// The package is designed for the case that each entry loses the path to some of the gates for seconds. Without it, every
// request sent to such a gate would have to wait for a timeout again.
package monitor

import "time"

const (
	// initialBackoff is how long a node is avoided after the first failure to reach it. The backoff doubles with each
	// further failure, up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 8 * time.Second

	// The timeout for the first response of a gate is timeoutFactor times the mean round-trip time, but at least minTimeout
	// and at most maxTimeout. It is defaultTimeout before any round-trip time is known.
	minTimeout     = 80 * time.Millisecond
	maxTimeout     = 600 * time.Millisecond
	defaultTimeout = 300 * time.Millisecond
	timeoutFactor  = 4
	// rttWeight is the weight of a new sample in the mean round-trip time.
	rttWeight = 0.25
)

// Path is the state of the path to one node. It is immutable. The zero value is a path that was never used.
type Path struct {
	rtt         time.Duration
	backoff     time.Duration
	avoidUntil  time.Time
	lastReached time.Time
}

// WithSuccess returns the path after the first response of the node arrived at now. rtt is the time since the request
// was sent.
func (p Path) WithSuccess(now time.Time, rtt time.Duration) Path {
	if p.rtt == 0 {
		p.rtt = rtt
	}
	p.rtt += time.Duration(rttWeight * float64(rtt-p.rtt))
	p.backoff, p.avoidUntil, p.lastReached = 0, time.Time{}, now
	return p
}

// WithFailure returns the path after the node could not be reached at now.
func (p Path) WithFailure(now time.Time) Path {
	if now.Before(p.avoidUntil) {
		// The request was sent before the backoff began, so its failure is no new evidence.
		return p
	}
	p.backoff = min(max(2*p.backoff, initialBackoff), maxBackoff)
	p.avoidUntil = now.Add(p.backoff)
	return p
}

// Avoided reports whether requests should avoid the path at now.
func (p Path) Avoided(now time.Time) bool { return now.Before(p.avoidUntil) }

// Timeout returns how long to wait for the first response of the node.
func (p Path) Timeout() time.Duration {
	if p.rtt == 0 {
		return defaultTimeout
	}
	return min(max(timeoutFactor*p.rtt, minTimeout), maxTimeout)
}
