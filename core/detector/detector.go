package detector

import (
	"maps"
	"math"
	"slices"
	"time"

	"samphiremount.example/core/observer"
)

// halfLife is the time after which past evidence has half of its weight.
const halfLife = 10 * time.Second

// Verdict is the result of a round for one target. Attempts and Bad count the attempts of that round. An attempt is bad
// if it failed or was slow for its service; PeerRate is the pooled fraction of bad attempts at the other targets. A target
// with a Score of 1 or more is a suspect.
type Verdict struct {
	Target   string
	Score    float64
	Reason   string
	Attempts int
	Bad      int
	PeerRate float64
}

// Suspect reports whether the target should be ejected.
func (v Verdict) Suspect() bool {
	return v.Score >= 1
}

// Detector detects the outliers among the targets of one service. It is an immutable value.
type Detector struct {
	method    Method
	lastRound time.Time
	targets   map[string]history
}

// New returns a Detector without evidence that uses method.
func New(method Method) Detector {
	return Detector{method: method}
}

// history is the weighted evidence on one target. latency counts answers by histogram bucket. cusum is the state of the
// Sequential method, and outlierRounds that of the Robust method.
type history struct {
	attempts      float64
	bad           float64
	latency       []float64
	round         round
	cusum         float64
	outlierRounds int
}

// round is the evidence of the current round on one target.
type round struct {
	attempts            int
	bad                 int
	consecutiveFailures int
}

// Without returns the Detector without the evidence on target.
func (d Detector) Without(target string) Detector {
	d.targets = maps.Clone(d.targets)
	delete(d.targets, target)
	return d
}

// With returns the Detector after the digests of one round at now, and the verdicts on the targets of these digests,
// sorted by name. Digests of the same target are added up first. Targets in excluded, such as ejected ones, do not count
// in the baselines of others.
func (d Detector) With(now time.Time, digests []observer.Digest, excluded map[string]bool) (Detector, []Verdict) {
	joined := make(map[string]observer.Digest)
	for _, digest := range digests {
		joined[digest.Target] = digest.With(joined[digest.Target])
	}
	weight := math.Exp2(-float64(max(now.Sub(d.lastRound), 0)) / float64(halfLife))
	targets := make(map[string]history, len(d.targets))
	for name, past := range d.targets {
		targets[name] = past.decayed(weight)
	}
	slow := slowBucket(targets, excluded)
	for name, digest := range joined {
		targets[name] = targets[name].with(digest, slow)
	}
	included := make(map[string]history, len(targets))
	for name, target := range targets {
		if !excluded[name] {
			included[name] = target
		}
	}
	var verdicts []Verdict
	for _, name := range slices.Sorted(maps.Keys(joined)) {
		peers := newBaseline(included, name)
		target, evaluation := d.method.evaluate(targets[name], peers)
		targets[name] = target
		verdicts = append(verdicts, Verdict{
			name, evaluation.score, evaluation.reason, target.round.attempts, target.round.bad, peers.rate,
		})
	}
	return Detector{method: d.method, lastRound: now, targets: targets}, verdicts
}

// minHistoryAttempts is the weighted number of attempts below which the history of a target counts as empty.
const minHistoryAttempts = 0.01

// decayed returns the history without its round, with all counts multiplied by weight.
func (h history) decayed(weight float64) history {
	if h.attempts < minHistoryAttempts {
		h.latency = nil
	}
	latency := make([]float64, len(h.latency))
	for i, count := range h.latency {
		latency[i] = weight * count
	}
	return history{
		attempts: weight * h.attempts, bad: weight * h.bad, latency: latency, cusum: h.cusum, outlierRounds: h.outlierRounds,
	}
}

// with returns the history with the digest of a new round. Answers in buckets after slow are bad.
func (h history) with(digest observer.Digest, slow int) history {
	h.round = round{digest.Attempts, digest.Failures() + digest.Latency.Above(slow), digest.ConsecutiveFailures}
	h.attempts += float64(h.round.attempts)
	h.bad += float64(h.round.bad)
	latency := make([]float64, max(len(h.latency), len(digest.Latency)))
	copy(latency, h.latency)
	for i, count := range digest.Latency {
		latency[i] += float64(count)
	}
	h.latency = latency
	return h
}

// rate returns the weighted fraction of attempts that are bad.
func (h history) rate() float64 {
	if h.attempts < minHistoryAttempts {
		return 0
	}
	return h.bad / h.attempts
}
