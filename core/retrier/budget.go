package retrier

import "time"

// bucketCount is the number of time buckets that are counted. The newest is not complete, so the others span the window.
const bucketCount = 12

// Allowance bounds the extra attempts (retries and hedges) of a service: in any Window, at most Ratio times the
// requests in that window plus Slack.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// defaultAllowance is used where no other policy is given. In a fleet of full size a node sees about 20 requests of a
// service per minute, so a window shorter than a minute would never allow a retry.
var defaultAllowance = Allowance{Ratio: 0.1, Window: time.Minute}

// Budget counts the requests and the extra attempts of one service over a sliding window. It is an immutable value. Its
// zero value has counted nothing and, without slack, allows no extra attempt.
//
// With a slack of 0, the extra attempts of the whole history never exceed Ratio times the requests: at each extra
// attempt the bound holds for the window that ends with it, and disjoint windows, taken backwards from the last extra
// attempt, cover the whole history. The bounds of several nodes add up to the same ratio for their sum, so nodes do not
// exchange their budgets.
type Budget struct {
	epoch  int64
	counts [bucketCount]count
}

// count is what was counted in one bucket.
type count struct {
	requests      float64
	extraAttempts int
}

// WithRequest returns the budget after a new request at now, which counts as the fraction weight of one.
func (b Budget) WithRequest(now time.Time, allowance Allowance, weight float64) Budget {
	b = b.at(now, allowance)
	b.counts[b.index()].requests += weight
	return b
}

// WithExtraAttempt reports whether the budget allows an extra attempt at now, and returns the budget with that attempt
// counted. If it allows none, only the buckets that have left the window
// are removed.
func (b Budget) WithExtraAttempt(now time.Time, allowance Allowance) (Budget, bool) {
	b = b.at(now, allowance)
	requests, extraAttempts := b.counted()
	if float64(extraAttempts+1) > allowance.Ratio*requests+allowance.Slack {
		return b, false
	}
	b.counts[b.index()].extraAttempts++
	return b, true
}

// counted returns the requests and the extra attempts in the window.
func (b Budget) counted() (requests float64, extraAttempts int) {
	for _, c := range b.counts {
		requests += c.requests
		extraAttempts += c.extraAttempts
	}
	return requests, extraAttempts
}

// at returns the budget without the buckets that have left the window at now. After a step back of the clock, counts go
// into the newest bucket.
func (b Budget) at(now time.Time, allowance Allowance) Budget {
	epoch := now.UnixNano() / int64(allowance.Window/(bucketCount-1))
	if epoch-b.epoch >= bucketCount {
		return Budget{epoch: epoch}
	}
	for b.epoch < epoch {
		b.epoch++
		b.counts[b.index()] = count{}
	}
	return b
}

// index returns the position of the newest bucket in counts.
func (b Budget) index() int {
	return int(b.epoch % bucketCount)
}
