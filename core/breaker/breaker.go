// Package breaker judges, from what a gate sees of the one target beside it, whether that target fails grayly at the
// moment: it answers its health check and accepts requests, but hangs or fails many of them. The judgement follows
// within a request or two, long before the fleet's own statistics would show it, and ends as fast. It only decides which
// requests the gate takes; it ejects nothing.
//
// The load pattern that it answers: some targets hang on most of their requests for some seconds at a time, while others
// are idle. Every request that is let in meanwhile holds a slot until its deadline.
package breaker

import (
	"math"
	"time"
)

// The judgement is a cumulative sum of log likelihood ratios (Page 1954) of a bad request: at healthyRate the target is
// sound, at grayRate it fails grayly.
const (
	healthyRate = 0.05
	grayRate    = 0.85
	// suspectAfterBad is the number of bad requests in a row that make a sound target suspect, and mostBad the number of
	// them that is remembered.
	suspectAfterBad = 2
	maxBad          = 2.5
	// canceledWeight is how much a slow request that was given up counts: callers leave of their own accord too.
	canceledWeight = 0.5
	// trialInterval is the least time between two requests that a suspect target gets.
	trialInterval = 400 * time.Millisecond

	// doubtfulMissedEnds and suspectStall are numbers of requests that a sound target would have ended since the last one
	// ended. If requests end at random, none of them does with a probability of exp(-4.5) and exp(-8).
	doubtfulMissedEnds = 4.5
	suspectMissedEnds  = 8
)

var (
	badWeight  = math.Log(grayRate / healthyRate)
	goodWeight = math.Log((1 - grayRate) / (1 - healthyRate))
)

// Result is how a request ended. It is Served, Failed or Withdrawn.
type Result interface{ result() }

// Served is a request that the target answered.
type Served struct{}

// Failed is a request that the target failed, declined or cut.
type Failed struct{}

// Canceled is a request that its caller gave up, or that another target answered first. It speaks against the target if
// it was overdue, and half as much if it was slow.
type Canceled struct{}

func (Served) result()   {}
func (Failed) result()   {}
func (Canceled) result() {}

// Verdict says which requests a target gets. It is Sound, Doubtful or Suspect.
type Verdict interface{ verdict() }

// Healthy lets all requests in.
type Healthy struct{}

// Doubtful lets only those in that may be repeated.
type Doubtful struct{}

// Suspect lets one of those in at a time, as a trial. Trial reports whether that may start now.
type Suspect struct{ TrialAllowed bool }

func (Healthy) verdict()  {}
func (Doubtful) verdict() {}
func (Suspect) verdict()  {}

// Name returns the name of a verdict for logs.
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

// Evidence is what a verdict rests on. Failures is the number of failed requests that speak against the target, less
// what served ones took back. Missing is the number of requests that a sound target would have ended since it ended the
// last one, and Running the number in progress.
type Evidence struct {
	Failures   float64
	MissedEnds float64
	Running    int
}

// Breaker holds the evidence on one target. It is not safe for concurrent use.
type Breaker struct {
	cusum      float64
	missedEnds float64
	updatedAt  time.Time
	running    map[string]request
	lastTrial  time.Time
}

// Expectation says how long a request takes at a sound target: on average Typical, or 0 if that is not known, seldom
// longer than until Slow, and hardly ever longer than until Due.
type Expectation struct {
	Mean      time.Duration
	SlowAt    time.Time
	OverdueAt time.Time
}

// request is a request in progress. That it is overdue counts as bad once.
type request struct {
	Expectation

	overdue bool
}

// New returns a Suspector without evidence.
func New() *Breaker {
	return &Breaker{running: make(map[string]request)}
}

// Start notes that the request called id went to the target at now.
func (s *Breaker) Start(now time.Time, id string, expectation Expectation) {
	if _, suspect := s.Verdict(now).(Suspect); suspect {
		s.lastTrial = now
	}
	s.running[id] = request{Expectation: expectation}
}

// End notes that the request called id ended at now.
func (s *Breaker) End(now time.Time, id string, result Result) {
	s.update(now)
	ended, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if _, withdrawn := result.(Canceled); !withdrawn {
		s.missedEnds = 0
	}
	switch result.(type) {
	case Served:
		s.cusum = max(0, s.cusum+goodWeight)
		// A trial that went well is followed by the next one at once.
		s.lastTrial = time.Time{}
	case Failed:
		if !ended.overdue {
			s.addBad(1)
		}
	case Canceled:
		if !ended.overdue && !now.Before(ended.SlowAt) {
			s.addBad(canceledWeight)
		}
	}
}

// Verdict returns the verdict at now.
func (s *Breaker) Verdict(now time.Time) Verdict {
	s.update(now)
	switch {
	case s.cusum >= suspectAfterBad*badWeight || s.missedEnds >= suspectMissedEnds:
		return Suspect{TrialAllowed: now.Sub(s.lastTrial) >= trialInterval}
	case s.cusum >= badWeight || s.missedEnds >= doubtfulMissedEnds:
		return Doubtful{}
	default:
		return Healthy{}
	}
}

// Evidence returns what the latest verdict rests on.
func (s *Breaker) Evidence() Evidence {
	return Evidence{Failures: s.cusum / badWeight, MissedEnds: s.missedEnds, Running: len(s.running)}
}

// update counts the requests that became overdue, and those that should have ended since it was called last.
func (s *Breaker) update(now time.Time) {
	passed := max(now.Sub(s.updatedAt), 0)
	s.updatedAt = now
	if len(s.running) == 0 {
		s.missedEnds = 0
	}
	for id, r := range s.running {
		if r.Mean > 0 {
			s.missedEnds += float64(passed) / float64(r.Mean)
		}
		if !r.overdue && !now.Before(r.OverdueAt) {
			r.overdue = true
			s.running[id] = r
			s.addBad(1)
		}
	}
}

func (s *Breaker) addBad(part float64) {
	s.cusum = min(s.cusum+part*badWeight, maxBad*badWeight)
}
