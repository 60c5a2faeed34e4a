package router

import "time"

const (
	// SlowStart is how long a target that joins or returns takes to reach its full share, unless the router says
	// otherwise.
	SlowStart = 15 * time.Second

	minSlotFraction = 0.1

	// trialSlotFraction is the part of its slots by which a target on trial shares in repeatable requests.
	trialSlotFraction = 0.05

	// reportLifetime is how long a gate's word on a target's load counts, with falling weight.
	reportLifetime = 5 * time.Second
)

// Status says how far a target may be used. It is Serving, Trial or Ejected.
type Status interface {
	status()
}

// Serving is a target in use. Since is when it joined or returned, or zero if that was long ago.
type Serving struct {
	Since time.Time
}

// Trial is an ejected target that gets a few repeatable requests.
type Trial struct{}

// Ejected is a target that gets no requests.
type Ejected struct{}

func (Serving) status() {}
func (Trial) status()   {}
func (Ejected) status() {}

// slotFraction is the part of its slots that a target may use at now: it grows linearly over slowStart.
func (s Serving) slotFraction(now time.Time, slowStart time.Duration) float64 {
	if s.Since.IsZero() || now.Sub(s.Since) >= slowStart {
		return 1
	}
	return minSlotFraction + (1-minSlotFraction)*float64(max(now.Sub(s.Since), 0))/float64(slowStart)
}

// Report is what a target's gate last said of it: the number of slots in use at a time. The zero value says nothing.
type Report struct {
	InFlight int
	At       time.Time
}

func (r Report) inFlight(now time.Time) float64 {
	age := now.Sub(r.At)
	if age >= reportLifetime {
		return 0
	}
	return float64(r.InFlight) * (1 - float64(max(age, 0))/float64(reportLifetime))
}

// Warmups remembers since when targets serve. It is not safe for concurrent use.
type Warmups struct {
	since map[string]time.Time
}

// Update takes the names of all targets that serve at now. Those of the first call count as warm, since a node that
// starts knows nothing of their age.
func (a *Warmups) Update(now time.Time, serving []string) {
	since := make(map[string]time.Time, len(serving))
	for _, name := range serving {
		old, known := a.since[name]
		if !known && a.since != nil {
			old = now
		}
		since[name] = old
	}
	a.since = since
}

// RecordReturn counts the target called name as one that returned at now, after an ejection.
func (a *Warmups) RecordReturn(now time.Time, name string) {
	if _, serving := a.since[name]; serving {
		a.since[name] = now
	}
}

// Serving returns the standing of the target called name.
func (a *Warmups) Serving(name string) Serving {
	return Serving{Since: a.since[name]}
}
