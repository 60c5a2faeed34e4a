// Package breaker is the circuit breaker of a gate. It observes the requests that the gate forwards to its one target and
// detects a gray failure: the target answers its health check and accepts requests, but hangs or fails many of them. The
// breaker reacts within one or two requests, long before the statistics of the fleet would show the failure, and closes
// as fast. It only decides which requests the gate admits; it ejects nothing.
//
// The package is designed for the case that some targets hang on most of their requests for some seconds at a time, while
// others are idle. Without it, every request that is admitted in that time would hold a slot until its deadline.
package breaker

import (
	"math"
	"time"
)

// The breaker uses a cumulative sum (CUSUM) of log likelihood ratios (Page 1954) of two rates of bad requests:
// healthyRate for a healthy target and grayRate for a gray failure.
const (
	healthyRate = 0.05
	grayRate    = 0.85
	// suspectAfterBad is the number of bad requests in a row that make a healthy target suspect. The sum is bounded to
	// that of maxBad bad requests, so that the target can recover soon.
	suspectAfterBad = 2
	maxBad          = 2.5
	// canceledWeight is the weight of a slow request that was canceled. It is below 1 since callers also cancel requests
	// for their own reasons.
	canceledWeight = 0.5
	// trialInterval is the minimum time between two trial requests to a suspect target, unless a request is served in
	// between. It doubles with each request that starts while the target is suspect, up to maxTrialInterval, and is
	// trialInterval again once one is served: a gray failure lasts for seconds, and each trial costs a caller's request.
	trialInterval    = 700 * time.Millisecond
	maxTrialInterval = time.Second

	// doubtfulMissedEnds and suspectMissedEnds are limits on the number of requests that a healthy target would have ended
	// since the last one ended. If requests end independently at random, the probability that none has ended by then is
	// exp(-4.5) and exp(-8).
	doubtfulMissedEnds = 4.5
	suspectMissedEnds  = 8
)

var (
	badWeight  = math.Log(grayRate / healthyRate)
	goodWeight = math.Log((1 - grayRate) / (1 - healthyRate))
)

// Result is the outcome of a request. It is Served, Failed, CallFailed or Canceled.
type Result interface{ result() }

// Served is a request that the target answered.
type Served struct{}

// Failed is a request that the target failed, refused, or answered only in part.
type Failed struct{}

// CallFailed is a request that the target failed right after a call had failed that the target made for it. It tells
// nothing about the target.
type CallFailed struct{}

// Canceled is a request that its caller canceled or that another target answered first. It counts as bad if it was
// overdue, and with canceledWeight if it was only slow.
type Canceled struct{}

func (Served) result()     {}
func (Failed) result()     {}
func (CallFailed) result() {}
func (Canceled) result()   {}

// Verdict decides which requests a target gets. It is Healthy, Doubtful or Suspect.
type Verdict interface{ verdict() }

// Healthy admits all requests.
type Healthy struct{}

// Doubtful admits one repeatable request at a time as a trial, until the doubt is settled. TrialAllowed reports whether one
// may start now.
type Doubtful struct{ TrialAllowed bool }

// Suspect admits single repeatable requests as trials. TrialAllowed reports whether one may start now, and NextTrial is the
// time at which one may if none is served before.
type Suspect struct {
	TrialAllowed bool
	NextTrial    time.Time
}

func (Healthy) verdict()  {}
func (Doubtful) verdict() {}
func (Suspect) verdict()  {}

// Name returns the name of a verdict, as used in logs.
func Name(verdict Verdict) string {
	switch verdict.(type) {
	case Suspect:
		return "suspect"
	case Doubtful:
		return "doubtful"
	case Healthy:
	}
	return "sound"
}

// Evidence is the evidence for a verdict. Failures is the weighted number of bad requests, reduced by the requests served
// since. MissedEnds is the number of requests that a healthy target would have ended since the last one ended. Running is
// the number of requests in progress.
type Evidence struct {
	Failures   float64
	MissedEnds float64
	Running    int
}

// Breaker is the circuit breaker of one target. It is not safe for concurrent use.
type Breaker struct {
	cusum      float64
	missedEnds float64
	updatedAt  time.Time
	running    map[string]request
	// nextTrial is the time at which the next trial of a suspect target may start, trialPause the time after that trial.
	nextTrial  time.Time
	trialPause time.Duration
}

// Expectation describes how long a request takes at a healthy target. Mean is the mean duration, or 0 if that is not
// known. Few requests are still running at SlowAt, and hardly any at OverdueAt.
type Expectation struct {
	Mean      time.Duration
	SlowAt    time.Time
	OverdueAt time.Time
}

// request is a request in progress. overdue is set once it has been counted as bad for being overdue, and trial if the target
// was not healthy at its start.
type request struct {
	Expectation

	overdue bool
	trial   bool
}

// New returns a Breaker without evidence.
func New() *Breaker {
	return &Breaker{running: make(map[string]request), trialPause: trialInterval}
}

// Start records that the request with that id was sent to the target at now.
func (b *Breaker) Start(now time.Time, id string, expectation Expectation) {
	started := request{Expectation: expectation}
	switch b.Verdict(now).(type) {
	case Suspect:
		started.trial = true
		b.nextTrial = now.Add(b.trialPause)
		b.trialPause = min(2*b.trialPause, maxTrialInterval)
	case Doubtful:
		started.trial = true
	case Healthy:
	}
	b.running[id] = started
}

// End records that the request with that id ended at now.
func (b *Breaker) End(now time.Time, id string, result Result) {
	b.update(now)
	ended, ok := b.running[id]
	if !ok {
		return
	}
	delete(b.running, id)
	if _, canceled := result.(Canceled); !canceled {
		b.missedEnds = 0
	}
	switch result.(type) {
	case Served:
		b.cusum = max(0, b.cusum+goodWeight)
		// After a request is served, the next trial may start at once.
		b.nextTrial, b.trialPause = time.Time{}, trialInterval
	case CallFailed:
		if ended.trial {
			// The trial was spent for nothing.
			b.nextTrial = time.Time{}
		}
	case Failed:
		if !ended.overdue {
			b.addBad(1)
		}
	case Canceled:
		if !ended.overdue && !now.Before(ended.SlowAt) {
			b.addBad(canceledWeight)
		}
	}
}

// Verdict returns the verdict at now.
func (b *Breaker) Verdict(now time.Time) Verdict {
	b.update(now)
	switch {
	case b.cusum >= suspectAfterBad*badWeight || b.missedEnds >= suspectMissedEnds:
		return Suspect{TrialAllowed: !now.Before(b.nextTrial), NextTrial: b.nextTrial}
	case b.cusum >= badWeight || b.missedEnds >= doubtfulMissedEnds:
		return Doubtful{TrialAllowed: !b.trialInProgress(now)}
	default:
		return Healthy{}
	}
}

// trialInProgress reports whether a trial runs that may still end as at a healthy target.
func (b *Breaker) trialInProgress(now time.Time) bool {
	for _, r := range b.running {
		if r.trial && now.Before(r.SlowAt) {
			return true
		}
	}
	return false
}

// Evidence returns the evidence for the latest verdict.
func (b *Breaker) Evidence() Evidence {
	return Evidence{Failures: b.cusum / badWeight, MissedEnds: b.missedEnds, Running: len(b.running)}
}

// update counts the requests that have become overdue, and adds the requests that a healthy target would have ended
// since the last call.
func (b *Breaker) update(now time.Time) {
	elapsed := max(now.Sub(b.updatedAt), 0)
	b.updatedAt = now
	if len(b.running) == 0 {
		b.missedEnds = 0
	}
	for id, r := range b.running {
		if r.Mean > 0 {
			b.missedEnds += float64(elapsed) / float64(r.Mean)
		}
		if !r.overdue && !now.Before(r.OverdueAt) {
			r.overdue = true
			b.running[id] = r
			b.addBad(1)
		}
	}
}

// addBad counts a bad request with that weight.
func (b *Breaker) addBad(weight float64) {
	b.cusum = min(b.cusum+weight*badWeight, maxBad*badWeight)
}
