package retrier

import "time"

// bucketCount is the number of parts of the window over which sends are counted.
const bucketCount = 12

// Allowance bounds the extra sends: in each Window at most Ratio times the requests in it, and Slack more.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// defaultAllowance is the product's own. At the target size a node sees some 20 requests of a service in a minute, so a
// shorter window would never allow a retry.
var defaultAllowance = Allowance{Ratio: 0.1, Window: time.Minute}

// Budget counts the requests and the extra sends (retries and hedges) of one service over a sliding window. It is an
// immutable value. Its zero value is empty and allows nothing.
//
// Without slack, extra sends never exceed their part of the requests: at each extra send the bound holds for the window
// that ends with it, and the whole history is covered by disjoint windows, taken backwards from the last extra send.
// Budgets of different nodes add up to the same bound, so no node needs to know another's.
type Budget struct {
	epoch  int64
	counts [bucketCount]count
}

type count struct {
	requests      int
	extraAttempts int
}

// WithRequest returns the budget after a new request at now.
func (b Budget) WithRequest(now time.Time, allowance Allowance) Budget {
	b = b.at(now, allowance)
	b.counts[b.index()].requests++
	return b
}

// WithRetry returns the budget after an extra send at now, and whether the budget allows it. If not, the budget is
// unchanged but for the passage of time.
func (b Budget) WithRetry(now time.Time, allowance Allowance) (Budget, bool) {
	b = b.at(now, allowance)
	var total count
	for _, c := range b.counts {
		total.requests += c.requests
		total.extraAttempts += c.extraAttempts
	}
	if float64(total.extraAttempts+1) > allowance.Ratio*float64(total.requests)+allowance.Slack {
		return b, false
	}
	b.counts[b.index()].extraAttempts++
	return b, true
}

// at drops the buckets that have left the window. A clock that steps back counts into the newest bucket.
func (b Budget) at(now time.Time, allowance Allowance) Budget {
	epoch := now.UnixNano() / int64(allowance.Window/bucketCount)
	if epoch-b.epoch >= bucketCount {
		return Budget{epoch: epoch}
	}
	for b.epoch < epoch {
		b.epoch++
		b.counts[b.index()] = count{}
	}
	return b
}

func (b Budget) index() int {
	return int(b.epoch % bucketCount)
}
