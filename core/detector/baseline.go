package detector

import (
	"math"
	"slices"
	"time"

	"samphiremount.example/core/observer"
)

const (
	// slowQuantile and slowBuckets define a slow answer: its latency is more than 2 buckets, which is a factor of two,
	// above this quantile of the latencies of the service.
	slowQuantile = 0.9
	slowBuckets  = 2

	// minSlowLatency is the latency up to which no answer is slow: such small differences come from new connections.
	minSlowLatency = 10 * time.Millisecond

	// minAnswers is the minimum weighted number of answers for the quantile of a target to count.
	minAnswers = 10

	// trimDivisor sets the fraction of peers that the pooled rate leaves out: one in trimDivisor, those with the highest
	// rates of bad attempts.
	trimDivisor = 4

	// minRoundAttempts is the minimum number of attempts of the peers in a round for the rate of that round to count.
	minRoundAttempts = 5
)

// slowBucket returns the index of the last latency bucket that is not slow. It is based on the lower median of the
// targets' quantiles, so that slow targets do not change it as long as they are at most half of the service.
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

// quantile returns the bucket of the slowQuantile of the latencies, or false if there are too few answers.
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

// baseline describes the peers of one target. rate is their pooled rate of bad attempts, median the median of their
// rates, and spread the median absolute deviation from that median.
type baseline struct {
	rate      float64
	median    float64
	spread    float64
	peerCount int
}

// newBaseline returns the baseline for the target called name, from all other targets of its service. The pooled rate
// leaves out the worst quarter of the peers. If the rate of the current round alone is higher, that is used, so that a
// burst of failures in the whole service raises the baseline at once.
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
