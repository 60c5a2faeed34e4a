package detector

import (
	"fmt"
	"math"
)

const (
	// minHealthyRate is the rate of bad attempts that a healthy target may have, even if its peers have fewer.
	minHealthyRate = 0.01

	// The rate to detect is badRateRatio times the rate of the peers, but at least minBadRate and at most maxBadRate.
	badRateRatio = 4
	minBadRate   = 0.08
	maxBadRate   = 0.95

	// A round in which all attempts are bad may add half of the limit if it has at least minBlackoutAttempts of them. A
	// target whose slots all hang gives little other evidence.
	minBlackoutAttempts = 4
)

// Sequential uses a cumulative sum (CUSUM) of log likelihood ratios (Page 1954). Each attempt adds the logarithm of how
// much more likely its result is at the rate to detect than at the pooled rate of the peers. The sum that one round can
// add is bounded, so that a short cluster of failures alone is not sufficient.
type Sequential struct {
	limit   float64
	maxStep float64
}

// NewSequential returns the method with the limits for lean.
func NewSequential(lean Lean) Sequential {
	limit := lean.interpolate(12, 9)
	return Sequential{limit: limit, maxStep: limit / lean.interpolate(4, 3)}
}

func (s Sequential) evaluate(target history, peers baseline) (history, evaluation) {
	if peers.peerCount == 0 || peers.rate > maxBadRate/2 {
		// Without peers, or if about half of the attempts at the peers are bad, no target can be an outlier.
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
