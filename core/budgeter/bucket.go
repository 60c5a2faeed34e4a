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
	level    float64
	updated  time.Time
	requests recentCount
}

// WithRequests returns the bucket refilled up to now, after nodes reported requests.
func (b Bucket) WithRequests(now time.Time, allowance Allowance, requests float64) Bucket {
	b.requests = b.requests.with(now, allowance.Window, requests)
	b.level = max(b.level, -b.maxDebt(allowance))
	if elapsed := now.Sub(b.updated); !b.updated.IsZero() && elapsed > 0 {
		b.level += (1 - maxHeldFraction) * allowance.Slack * elapsed.Seconds() / allowance.Window.Seconds()
	}
	if now.After(b.updated) {
		b.updated = now
	}
	b.level += allowance.Ratio * requests
	b.level = min(b.level, maxHeldFraction*allowance.Slack)
	return b
}

// WithCharge returns the bucket less the estimated count of extra attempts that were sent without a grant. Its level
// may become negative.
func (b Bucket) WithCharge(allowance Allowance, count float64) Bucket {
	b.level = max(b.level-count, -b.maxDebt(allowance))
	return b
}

// maxDebt returns the extra attempts that a window allows. A larger debt is of attempts that have left the window before
// the debt is settled.
func (b Bucket) maxDebt(allowance Allowance) float64 {
	return allowance.Slack + allowance.Ratio*b.requests.sum()
}

// holds reports whether the bucket, refilled up to now, holds cost tokens.
func (b Bucket) holds(now time.Time, allowance Allowance, cost float64) bool {
	return b.WithRequests(now, allowance, 0).level >= cost
}

// Acquire takes cost tokens at now and reports whether the bucket held them.
func (b Bucket) Acquire(now time.Time, allowance Allowance, cost float64) (Bucket, bool) {
	held := b.holds(now, allowance, cost)
	b = b.WithRequests(now, allowance, 0)
	if held {
		b.level -= cost
	}
	return b, held
}

// recentCount is a sum over one to two windows of the recent past. Its zero value is 0.
type recentCount struct {
	epoch             int64
	current, previous float64
}

func (c recentCount) with(now time.Time, window time.Duration, count float64) recentCount {
	epoch := now.UnixNano() / int64(window)
	switch {
	case epoch == c.epoch+1:
		c = recentCount{epoch: epoch, previous: c.current}
	case epoch > c.epoch:
		c = recentCount{epoch: epoch}
	}
	c.current += count
	return c
}

func (c recentCount) sum() float64 { return c.previous + c.current }

// less returns the count less amount, and what amount exceeds it by. The older part is taken first.
func (c recentCount) less(amount float64) (remaining recentCount, excess float64) {
	old := min(c.previous, amount)
	c.previous -= old
	amount -= old
	recent := min(c.current, amount)
	c.current -= recent
	return c, amount - recent
}
