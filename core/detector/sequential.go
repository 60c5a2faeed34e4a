package detector

import (
	"fmt"
	"math"
)

const (
	// minHealthyRate is the rate of bad attempts that a healthy target may have however good its peers are.
	minHealthyRate = 0.01

	// badRateRatio and leastBad define the rate to detect: ratio times that of the peers, but at least leastBad.
	badRateRatio = 4
	minBadRate   = 0.08
	maxBadRate   = 0.95

	// minBlackoutAttempts is the number of attempts, all of them bad, from which a round may add half of the limit: a target
	// whose slots all hang shows little else.
	minBlackoutAttempts = 4
)

// Sequential judges by a cumulative sum of log likelihood ratios (Page 1954): each attempt is weighed by how much more
// likely it is at the rate to detect than at the pooled rate of the peers. What one round adds is bounded, so that a
// short clump of failures alone does not suffice.
type Sequential struct {
	limit   float64
	maxStep float64
}

// NewSequential returns the limits for lean.
func NewSequential(lean Lean) Sequential {
	limit := lean.interpolate(12, 9)
	return Sequential{limit: limit, maxStep: limit / lean.interpolate(4, 3)}
}

func (s Sequential) evaluate(target history, peers baseline) (history, evaluation) {
	if peers.peerCount == 0 || peers.rate > maxBadRate/2 {
		// Without peers, or when most of them fail, no target stands out.
		target.cusum = 0
		return target, evaluation{}
	}
	healthy := max(peers.rate, minHealthyRate)
	bad := min(max(badRateRatio*healthy, minBadRate), maxBadRate)
	failures, successes := float64(target.round.bad), float64(target.round.attempts-target.round.bad)
	change := failures*math.Log(bad/healthy) + successes*math.Log((1-bad)/(1-healthy))
	step := s.maxStep
	if successes == 0 && failures >= minBlackoutAttempts {
		step = s.limit / 2
	}
	target.cusum = min(max(target.cusum+min(change, step), 0), 2*s.limit)
	reason := fmt.Sprintf(
		"%.0f%% of %.0f attempts bad, pooled rate of %d peers %.1f%%, level %.1f",
		100*target.rate(), target.attempts, peers.peerCount, 100*peers.rate, target.cusum,
	)
	return target, evaluation{target.cusum / s.limit, reason}
}
