// Package budgeter keeps a retry budget that all nodes share, in addition to the budget of each node. A control process
// holds it and grants single extra attempts (retries or hedges) to nodes whose own budget is used up.
//
// It is made for failures that affect only a few of many nodes at a time, for which the budgets of those nodes are too
// small: some targets of a service hang at once, and the requests that wait for them entered at a few nodes.
package budgeter

import "time"

// Allowance bounds the extra attempts granted for one service: in any Window, at most Ratio times the requests that
// nodes reported in that window plus Slack.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// maxHeldFraction is the capacity of a bucket as a fraction of the slack: the most that can be granted at one moment.
// The rest of the slack is added evenly over the window.
const maxHeldFraction = 0.3

// Bucket is the token bucket of one service: a token allows one extra attempt. It is immutable; its zero value is
// empty.
type Bucket struct {
	level   float64
	updated time.Time
}

// WithRequests returns the bucket refilled up to now, after nodes reported requests.
func (b Bucket) WithRequests(now time.Time, allowance Allowance, requests int) Bucket {
	if elapsed := now.Sub(b.updated); !b.updated.IsZero() && elapsed > 0 {
		b.level += (1 - maxHeldFraction) * allowance.Slack * elapsed.Seconds() / allowance.Window.Seconds()
	}
	if now.After(b.updated) {
		b.updated = now
	}
	b.level += allowance.Ratio * float64(requests)
	b.level = min(b.level, maxHeldFraction*allowance.Slack)
	return b
}

// WithCharge returns the bucket less the estimated count of extra attempts that were sent without a grant. Its level
// may become negative, at most by the slack.
func (b Bucket) WithCharge(allowance Allowance, count float64) Bucket {
	b.level = max(b.level-count, -allowance.Slack)
	return b
}

// Acquire takes a token at now and reports whether the bucket held one.
func (b Bucket) Acquire(now time.Time, allowance Allowance) (Bucket, bool) {
	b = b.WithRequests(now, allowance, 0)
	if b.level < 1 {
		return b, false
	}
	b.level--
	return b, true
}
