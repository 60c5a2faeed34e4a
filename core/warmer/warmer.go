// Package warmer limits the requests that a target gets while it is cold, that is while it serves few requests because it has
// just started or has lost its caches.
//
// It addresses targets that start, or return from an evacuation, during traffic: all entries see a free target and send it at
// once what a warm one would take. All requests for a target pass through one gate, so one token bucket there limits the whole
// fleet. The bucket counts the requests to a warm target too, so that one that turns cold does not get a burst beside those.
package warmer

import "time"

// Limit bounds the requests to a cold target of a service. Rate is in requests per second; 0 sets no limit. Duration is the
// time for which a target is cold after a start. In no second may the target get more than Rate times Overage plus Tolerance
// requests.
type Limit struct {
	Rate      float64
	Duration  time.Duration
	Overage   float64
	Tolerance float64
}

// spareShare is the fraction of what is tolerated beside the rate that the burst uses. The rest is for a gate that has just
// restarted, and for requests that reach the target later than they were sent.
const spareShare = 0.5

// burst returns the tokens that are kept. In one second a bucket gives away these and Rate more.
func (l Limit) burst() float64 {
	return max(1, spareShare*((l.Overage-1)*l.Rate+l.Tolerance))
}

// Statement is what a target stated at At about itself: that it is cold until Until. The zero value is no statement.
type Statement struct {
	At    time.Time
	Until time.Time
}

// maxStatement bounds the time for which a target may state to be cold.
const maxStatement = 24 * time.Hour

// NewStatement returns the statement at now of a target that stays cold for remaining.
func NewStatement(now time.Time, remaining time.Duration) Statement {
	return Statement{At: now, Until: now.Add(min(max(remaining, 0), maxStatement))}
}

// Seconds returns the duration of value seconds, within what a target may state.
func Seconds(value float64) time.Duration {
	return time.Duration(min(max(value, 0), maxStatement.Seconds()) * float64(time.Second))
}

// Newer returns the later one of s and other.
func (s Statement) Newer(other Statement) Statement {
	if other.At.After(s.At) {
		return other
	}
	return s
}

// Target is what a gate knows of a target: when it started, or the zero time if that is unknown, and its last statement.
type Target struct {
	StartedAt time.Time
	Statement Statement
}

// Warmer is the token bucket of one target with what the gate itself has seen of it. It is immutable.
type Warmer struct {
	level     float64
	updated   time.Time
	startedAt time.Time
	seen      time.Time
	absent    time.Time
}

// New returns the Warmer of a target that a gate sees for the first time at now. It holds one token, since an earlier process
// of the gate may have used up the others.
func New(now time.Time, target Target) Warmer {
	return Warmer{level: 1, updated: now, seen: now, startedAt: target.StartedAt}
}

// WithAbsence returns the Warmer after the target was out of use until now: its data centre was evacuated, or its process could
// not be reached, so that it may have started again. What the target stated before does not count any more.
func (w Warmer) WithAbsence(now time.Time) Warmer {
	w.absent = now
	return w
}

// ColdUntil returns the time until which the target counts as cold: what it states, or else the duration of a cold start from
// its start and from the end of its last absence. A start that is not known counts from when the gate saw it, and so does one
// that lies in the future of the gate's clock.
func (w Warmer) ColdUntil(limit Limit, target Target) time.Time {
	if stated := target.Statement; !stated.At.IsZero() && !stated.At.Before(w.absent) {
		return stated.Until
	}
	started := w.seen
	if !target.StartedAt.IsZero() && target.StartedAt.Before(started) {
		started = target.StartedAt
	}
	if w.absent.After(started) {
		started = w.absent
	}
	until := started.Add(limit.Duration)
	if target.Statement.Until.After(until) {
		return target.Statement.Until
	}
	return until
}

// Admit takes a token for a request that is about to start at now, of which waiting others wait to start. If the target is
// cold and there is none, it returns the time at which there will be one.
func (w Warmer) Admit(now time.Time, limit Limit, target Target, waiting int) (next Warmer, retryAt time.Time, ok bool) {
	if limit.Rate <= 0 {
		return w, time.Time{}, true
	}
	w = w.at(now, limit, target)
	// Requests that wait for long, as for their body, must not keep out all others.
	needed := 1 + min(float64(waiting), limit.burst()-1)
	if now.Before(w.ColdUntil(limit, target)) && w.level < needed {
		wait := time.Duration((needed - w.level) / limit.Rate * float64(time.Second))
		return w, now.Add(max(wait, time.Nanosecond)), false
	}
	w.level = max(w.level-1, 0)
	return w, time.Time{}, true
}

// at returns the Warmer with the tokens of the time until now, and with the current start of the target.
func (w Warmer) at(now time.Time, limit Limit, target Target) Warmer {
	if !target.StartedAt.Equal(w.startedAt) {
		w.startedAt, w.seen = target.StartedAt, now
	}
	if elapsed := now.Sub(w.updated); elapsed > 0 {
		w.level += limit.Rate * elapsed.Seconds()
		w.updated = now
	}
	w.level = min(w.level, limit.burst())
	return w
}
