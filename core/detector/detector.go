package detector

import (
	"maps"
	"math"
	"slices"
	"time"

	"samphiremount.example/core/observer"
)

// halfLife is how fast past evidence loses weight.
const halfLife = 10 * time.Second

// Verdict is what a round says of one target. Attempts and Bad are those of the round: an attempt is bad if it failed or
// was slow for its service. A target with a Score of 1 or more is a suspect.
type Verdict struct {
	Target   string
	Score    float64
	Reason   string
	Attempts int
	Bad      int
}

// Suspect reports whether the target should be ejected.
func (v Verdict) Suspect() bool {
	return v.Score >= 1
}

// Detector judges the targets of one service. It is an immutable value.
type Detector struct {
	method    Method
	lastRound time.Time
	targets   map[string]history
}

// New returns a Judger without evidence that judges by method.
func New(method Method) Detector {
	return Detector{method: method}
}

// history is the weighed evidence on one target. Level is the state of a Sequential test, strikes that of a Robust one.
type history struct {
	attempts      float64
	bad           float64
	latency       []float64
	round         round
	cusum         float64
	outlierRounds int
}

type round struct {
	attempts            int
	bad                 int
	consecutiveFailures int
}

// Without returns the Judger without the evidence on target.
func (j Detector) Without(target string) Detector {
	j.targets = maps.Clone(j.targets)
	delete(j.targets, target)
	return j
}

// With returns the Judger after the digests of one round at now, and its verdicts on their targets, sorted by name.
// Digests of the same target are joined first. Targets in excluded, as ejected ones, count for no baseline.
func (j Detector) With(now time.Time, digests []observer.Digest, excluded map[string]bool) (Detector, []Verdict) {
	joined := make(map[string]observer.Digest)
	for _, digest := range digests {
		joined[digest.Target] = digest.With(joined[digest.Target])
	}
	weight := math.Exp2(-float64(max(now.Sub(j.lastRound), 0)) / float64(halfLife))
	targets := make(map[string]history, len(j.targets))
	for name, past := range j.targets {
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
		target, opinion := j.method.evaluate(targets[name], newBaseline(included, name))
		targets[name] = target
		verdicts = append(verdicts, Verdict{name, opinion.score, opinion.reason, target.round.attempts, target.round.bad})
	}
	return Detector{method: j.method, lastRound: now, targets: targets}, verdicts
}

// minHistoryAttempts is the weighed number of attempts below which a target's history is dropped.
const minHistoryAttempts = 0.01

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

// with adds a digest. Answers in buckets after slow are bad.
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

func (h history) rate() float64 {
	if h.attempts < minHistoryAttempts {
		return 0
	}
	return h.bad / h.attempts
}
