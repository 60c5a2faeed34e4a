// Package regulator keeps the requests that a target gets within the limit that the target itself names in its answers.
//
// All requests for a target pass through one gate, so one token bucket there limits the whole fleet. A gate that has
// restarted does not know the limit. Entries that have seen it tell it with each request.
package regulator

import "time"

const (
	// minRate is the least rate in requests per second at which a target gets requests, since only an answer can lift its
	// limit.
	minRate = 0.25
	// burstTime is the time for which unused tokens are kept.
	burstTime = time.Second
)

// Limit is the number of requests per second that a target takes from all nodes together. Its zero value is no limit.
type Limit struct {
	Rate  float64
	Named bool
}

// Regulator holds the limit of one target and a token bucket for it. It is immutable; its zero value knows no limit.
type Regulator struct {
	limit    Limit
	answered bool
	level    float64
	updated  time.Time
}

// WithAnswer returns the regulator after an answer of the target at now, which named limit.
func (r Regulator) WithAnswer(now time.Time, limit Limit) Regulator {
	r.answered = true
	return r.withLimit(now, limit)
}

// WithReport returns the regulator after an entry reported limit, which an answer to it named. It counts until the first
// answer that this gate receives.
func (r Regulator) WithReport(now time.Time, limit Limit) Regulator {
	if r.answered || !limit.Named {
		return r
	}
	return r.withLimit(now, limit)
}

// withLimit sets the limit. A new bucket is empty, since the target got requests until now.
func (r Regulator) withLimit(now time.Time, limit Limit) Regulator {
	if r.limit.Named {
		r = r.at(now)
	} else {
		r.level, r.updated = 0, now
	}
	r.limit = limit
	return r
}

// Admit takes a token for a request at now. If there is none, it returns the time at which there will be one.
func (r Regulator) Admit(now time.Time) (next Regulator, retryAt time.Time, ok bool) {
	if !r.limit.Named {
		return r, time.Time{}, true
	}
	r = r.at(now)
	if r.level < 1 {
		return r, now.Add(time.Duration((1 - r.level) / r.rate() * float64(time.Second))), false
	}
	r.level--
	return r, time.Time{}, true
}

// WithReturn returns the regulator after a request that got a token was not sent.
func (r Regulator) WithReturn() Regulator {
	if r.limit.Named {
		r.level = min(r.level+1, r.capacity())
	}
	return r
}

func (r Regulator) at(now time.Time) Regulator {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.level = min(r.level+r.rate()*elapsed.Seconds(), r.capacity())
		r.updated = now
	}
	return r
}

func (r Regulator) rate() float64 { return max(r.limit.Rate, minRate) }

func (r Regulator) capacity() float64 { return max(1, r.rate()*burstTime.Seconds()) }
