package judger

import (
	"fmt"
	"math"
)

const (
	// leastRate is the rate of bad attempts that a healthy target may have however good its peers are.
	leastRate = 0.01

	// ratio and leastBad define the rate to detect: ratio times that of the peers, but at least leastBad.
	ratio    = 4
	leastBad = 0.08
	mostRate = 0.95
)

// Sequential judges by a cumulative sum of log likelihood ratios (Page 1954): each attempt is weighed by how much more
// likely it is at the rate to detect than at the pooled rate of the peers. What one round adds is bounded, so that a
// short clump of failures alone does not suffice.
type Sequential struct {
	limit float64
	step  float64
}

// NewSequential returns the limits for lean.
func NewSequential(lean Lean) Sequential {
	limit := lean.between(12, 6)
	return Sequential{limit: limit, step: limit / lean.between(4, 2)}
}

func (s Sequential) judge(target history, peers baseline) (history, opinion) {
	if peers.peers == 0 || peers.rate > mostRate/2 {
		// Without peers, or when most of them fail, no target stands out.
		target.level = 0
		return target, opinion{}
	}
	healthy := max(peers.rate, leastRate)
	bad := min(max(ratio*healthy, leastBad), mostRate)
	failures, successes := float64(target.round.bad), float64(target.round.attempts-target.round.bad)
	change := failures*math.Log(bad/healthy) + successes*math.Log((1-bad)/(1-healthy))
	target.level = min(max(target.level+min(change, s.step), 0), 2*s.limit)
	reason := fmt.Sprintf(
		"%.0f%% of %.0f attempts bad, pooled rate of %d peers %.1f%%, level %.1f",
		100*target.rate(), target.attempts, peers.peers, 100*peers.rate, target.level,
	)
	return target, opinion{target.level / s.limit, reason}
}
