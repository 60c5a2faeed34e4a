package detector

import (
	"math"
	"slices"
	"time"

	"samphiremount.example/core/observer"
)

const (
	// slowQuantile and slowSteps define a slow answer: one that takes more than twice (2 steps of the square root of
	// two) the latency that this part of the service's answers stays below.
	slowQuantile = 0.9
	slowBuckets  = 2

	// minSlowLatency is a latency that is never slow: below it, a new connection alone makes the difference.
	minSlowLatency = 10 * time.Millisecond

	// minAnswers is the weighed number of answers that a target needs for its quantile to count.
	minAnswers = 10

	// trimDivisor is the part of the peers, those with the highest rates, that a pooled rate leaves out.
	trimDivisor = 4

	// minRoundAttempts is the number of attempts of peers in a round from which its own rate counts.
	minRoundAttempts = 5
)

// slowBucket returns the last bucket of answers that are not slow: it is taken from the lower median of the targets'
// quantiles, so that slow targets do not move it while they are at most half of the service.
func slowBucket(targets map[string]history, excluded map[string]bool) int {
	var quantiles []int
	for name, target := range targets {
		if bucket, ok := target.quantile(); ok && !excluded[name] {
			quantiles = append(quantiles, bucket)
		}
	}
	if len(quantiles) == 0 {
		return math.MaxInt32
	}
	slices.Sort(quantiles)
	return max(quantiles[(len(quantiles)-1)/2]+slowBuckets, observer.Bucket(minSlowLatency))
}

func (h history) quantile() (int, bool) {
	total := 0.0
	for _, count := range h.latency {
		total += count
	}
	if total < minAnswers {
		return 0, false
	}
	below := 0.0
	for bucket, count := range h.latency {
		below += count
		if below >= slowQuantile*total {
			return bucket, true
		}
	}
	return len(h.latency), true
}

// baseline is what the peers of one target show. Rate is their pooled rate of bad attempts.
type baseline struct {
	rate      float64
	median    float64
	spread    float64
	peerCount int
}

// newBaseline returns the baseline for the target called name, from all others of its service. The pooled rate leaves
// out the worst quarter of the peers, and is that of the current round if that is higher, so that a burst which hits
// the whole service raises it at once.
func newBaseline(targets map[string]history, name string) baseline {
	var peers []history
	for other, target := range targets {
		if other != name && target.attempts >= minHistoryAttempts {
			peers = append(peers, target)
		}
	}
	if len(peers) == 0 {
		return baseline{}
	}
	slices.SortFunc(peers, func(a, b history) int {
		switch {
		case a.rate() < b.rate():
			return -1
		case a.rate() > b.rate():
			return 1
		default:
			return 0
		}
	})
	var pooled, current history
	for _, peer := range peers[:len(peers)-len(peers)/trimDivisor] {
		pooled.attempts += peer.attempts
		pooled.bad += peer.bad
		current.attempts += float64(peer.round.attempts)
		current.bad += float64(peer.round.bad)
	}
	base := baseline{rate: pooled.rate(), median: peers[(len(peers)-1)/2].rate(), peerCount: len(peers)}
	if current.attempts >= minRoundAttempts {
		base.rate = max(base.rate, current.rate())
	}
	deviations := make([]float64, 0, len(peers))
	for _, peer := range peers {
		deviations = append(deviations, math.Abs(peer.rate()-base.median))
	}
	slices.Sort(deviations)
	base.spread = deviations[len(deviations)/2]
	return base
}
