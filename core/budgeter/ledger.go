// Package budgeter keeps the part of the retry budget that all nodes share. Each node has a budget of its own, which is
// too small where failures meet few nodes at a time; what those lack, a control process grants.
//
// The load pattern that it answers: some targets of a service hang at once, and the requests that wait for them came in
// at a few of many nodes.
package budgeter

import "time"

// Allowance bounds what is granted for one service: in any Window at most Ratio times the requests that nodes told of in
// it, and Slack more.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// maxHeldFraction is the part of the slack that may be granted at one moment. The rest becomes available evenly over the window.
const maxHeldFraction = 0.3

// Bucket is the account of one service. It is immutable; the zero value is empty.
type Bucket struct {
	level   float64
	updated time.Time
}

// WithRequests returns the ledger after nodes told at now of asked requests.
func (l Bucket) WithRequests(now time.Time, allowance Allowance, asked int) Bucket {
	if passed := now.Sub(l.updated); !l.updated.IsZero() && passed > 0 {
		l.level += (1 - maxHeldFraction) * allowance.Slack * passed.Seconds() / allowance.Window.Seconds()
	}
	if now.After(l.updated) {
		l.updated = now
	}
	l.level += allowance.Ratio * float64(asked)
	l.level = min(l.level, maxHeldFraction*allowance.Slack)
	return l
}

// WithCharged returns the ledger after count sends, as far as can be told, that were not granted by it. It owes them, up to
// the slack.
func (l Bucket) WithCharged(allowance Allowance, count float64) Bucket {
	l.level = max(l.level-count, -allowance.Slack)
	return l
}

// Acquire grants one send at now, if the ledger holds one.
func (l Bucket) Acquire(now time.Time, allowance Allowance) (Bucket, bool) {
	l = l.WithRequests(now, allowance, 0)
	if l.level < 1 {
		return l, false
	}
	l.level--
	return l, true
}
