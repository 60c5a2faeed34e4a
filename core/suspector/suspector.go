// Package suspector judges, from what a gate sees of the one target beside it, whether that target fails grayly at the
// moment: it answers its health check and accepts requests, but hangs or fails many of them. The judgement follows
// within a request or two, long before the fleet's own statistics would show it, and ends as fast. It only decides which
// requests the gate takes; it ejects nothing.
//
// The load pattern that it answers: some targets hang on most of their requests for some seconds at a time, while others
// are idle. Every request that is let in meanwhile holds a slot until its deadline.
package suspector

import (
	"math"
	"time"
)

// The judgement is a cumulative sum of log likelihood ratios (Page 1954) of a bad request: at healthyRate the target is
// sound, at grayRate it fails grayly.
const (
	healthyRate = 0.05
	grayRate    = 0.85
	// suspectAfter is the number of bad requests in a row that make a sound target suspect, and mostBad the number of
	// them that is remembered.
	suspectAfter = 2
	mostBad      = 2.5
	// withdrawnPart is how much a slow request that was given up counts: callers leave of their own accord too.
	withdrawnPart = 0.5
	// trialPause is the least time between two requests that a suspect target gets.
	trialPause = 400 * time.Millisecond

	// doubtfulStall and suspectStall are numbers of requests that a sound target would have ended since the last one
	// ended. If requests end at random, none of them does with a probability of exp(-4.5) and exp(-8).
	doubtfulStall = 4.5
	suspectStall  = 8
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

// Withdrawn is a request that its caller gave up, or that another target answered first. It speaks against the target if
// it was overdue, and half as much if it was slow.
type Withdrawn struct{}

func (Served) result()    {}
func (Failed) result()    {}
func (Withdrawn) result() {}

// Verdict says which requests a target gets. It is Sound, Doubtful or Suspect.
type Verdict interface{ verdict() }

// Sound lets all requests in.
type Sound struct{}

// Doubtful lets only those in that may be repeated.
type Doubtful struct{}

// Suspect lets one of those in at a time, as a trial. Trial reports whether that may start now.
type Suspect struct{ Trial bool }

func (Sound) verdict()    {}
func (Doubtful) verdict() {}
func (Suspect) verdict()  {}

// Name returns the name of a verdict for logs.
func Name(verdict Verdict) string {
	switch verdict.(type) {
	case Suspect:
		return "suspect"
	case Doubtful:
		return "doubtful"
	case Sound:
	}
	return "sound"
}

// Evidence is what a verdict rests on. Failures is the number of failed requests that speak against the target, less
// what served ones took back. Missing is the number of requests that a sound target would have ended since it ended the
// last one, and Running the number in progress.
type Evidence struct {
	Failures float64
	Missing  float64
	Running  int
}

// Suspector holds the evidence on one target. It is not safe for concurrent use.
type Suspector struct {
	level   float64
	stall   float64
	counted time.Time
	running map[string]run
	tried   time.Time
}

// Expectation says how long a request takes at a sound target: on average Typical, or 0 if that is not known, seldom
// longer than until Slow, and hardly ever longer than until Due.
type Expectation struct {
	Typical time.Duration
	Slow    time.Time
	Due     time.Time
}

// run is a request in progress. That it is overdue counts as bad once.
type run struct {
	Expectation

	overdue bool
}

// New returns a Suspector without evidence.
func New() *Suspector {
	return &Suspector{running: make(map[string]run)}
}

// Start notes that the request called id went to the target at now.
func (s *Suspector) Start(now time.Time, id string, expectation Expectation) {
	if _, suspect := s.Judge(now).(Suspect); suspect {
		s.tried = now
	}
	s.running[id] = run{Expectation: expectation}
}

// End notes that the request called id ended at now.
func (s *Suspector) End(now time.Time, id string, result Result) {
	s.count(now)
	ended, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if _, withdrawn := result.(Withdrawn); !withdrawn {
		s.stall = 0
	}
	switch result.(type) {
	case Served:
		s.level = max(0, s.level+goodWeight)
		// A trial that went well is followed by the next one at once.
		s.tried = time.Time{}
	case Failed:
		if !ended.overdue {
			s.bad(1)
		}
	case Withdrawn:
		if !ended.overdue && !now.Before(ended.Slow) {
			s.bad(withdrawnPart)
		}
	}
}

// Judge returns the verdict at now.
func (s *Suspector) Judge(now time.Time) Verdict {
	s.count(now)
	switch {
	case s.level >= suspectAfter*badWeight || s.stall >= suspectStall:
		return Suspect{Trial: now.Sub(s.tried) >= trialPause}
	case s.level >= badWeight || s.stall >= doubtfulStall:
		return Doubtful{}
	default:
		return Sound{}
	}
}

// Evidence returns what the latest verdict rests on.
func (s *Suspector) Evidence() Evidence {
	return Evidence{Failures: s.level / badWeight, Missing: s.stall, Running: len(s.running)}
}

// count counts the requests that became overdue, and those that should have ended since it was called last.
func (s *Suspector) count(now time.Time) {
	passed := max(now.Sub(s.counted), 0)
	s.counted = now
	if len(s.running) == 0 {
		s.stall = 0
	}
	for id, r := range s.running {
		if r.Typical > 0 {
			s.stall += float64(passed) / float64(r.Typical)
		}
		if !r.overdue && !now.Before(r.Due) {
			r.overdue = true
			s.running[id] = r
			s.bad(1)
		}
	}
}

func (s *Suspector) bad(part float64) {
	s.level = min(s.level+part*badWeight, mostBad*badWeight)
}
