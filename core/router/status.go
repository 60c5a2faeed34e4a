package router

import "time"

const (
	// SlowStart is the default time in which a target that joins or returns reaches its full share of requests.
	SlowStart = 15 * time.Second

	// minSlotFraction is the fraction of its slots with which a target begins its slow start.
	minSlotFraction = 0.1

	// reportLifetime is how long a gate's report of a target's load is used. Its weight falls linearly to 0.
	reportLifetime = 5 * time.Second
)

// Status is the extent to which a target may be used. It is Serving, Trial or Ejected.
type Status interface {
	status()
}

// Serving is the status of a target in use. Since is the time at which it joined or returned, or zero if that was long
// ago.
type Serving struct {
	Since time.Time
}

// Trial is the status of an ejected target that gets a few repeatable requests. Due is set while this entry is to send it
// the next one.
type Trial struct {
	Due bool
}

// Ejected is the status of a target that gets no requests.
type Ejected struct{}

func (Serving) status() {}
func (Trial) status()   {}
func (Ejected) status() {}

// slotFraction returns the fraction of its slots that a target may use at now. It grows linearly over slowStart.
func (s Serving) slotFraction(now time.Time, slowStart time.Duration) float64 {
	if s.Since.IsZero() || now.Sub(s.Since) >= slowStart {
		return 1
	}
	return minSlotFraction + (1-minSlotFraction)*float64(max(now.Sub(s.Since), 0))/float64(slowStart)
}

// Report is the last report of a target's gate: the number of slots in use at the time At. The zero value stands for no
// report.
type Report struct {
	InFlight int
	At       time.Time
}

// inFlight returns the reported number of slots in use, weighted by the age of the report at now.
func (r Report) inFlight(now time.Time) float64 {
	age := now.Sub(r.At)
	if age >= reportLifetime {
		return 0
	}
	return float64(r.InFlight) * (1 - float64(max(age, 0))/float64(reportLifetime))
}

// Warmups records when each target began to serve, for its slow start. It is not safe for concurrent use.
type Warmups struct {
	since map[string]time.Time
}

// Update takes the names of all targets that serve at now. The targets of the first call get no slow start, since a
// node that starts does not know how long they have been serving.
func (w *Warmups) Update(now time.Time, serving []string) {
	since := make(map[string]time.Time, len(serving))
	for _, name := range serving {
		old, known := w.since[name]
		if !known && w.since != nil {
			old = now
		}
		since[name] = old
	}
	w.since = since
}

// RecordReturn records that the target called name returned from an ejection at now.
func (w *Warmups) RecordReturn(now time.Time, name string) {
	if _, serving := w.since[name]; serving {
		w.since[name] = now
	}
}

// Serving returns the Serving status of the target called name.
func (w *Warmups) Serving(name string) Serving {
	return Serving{Since: w.since[name]}
}
