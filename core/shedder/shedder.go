// Package shedder finds the rate that a target accepts while it sheds load, and spaces requests so that it gets little more.
//
// It is designed for services most of whose targets reject requests for some seconds, with a status that says that the
// request was not run, or accept only a part of them. Without it each request is sent from one such target to the next,
// each time at the cost of the retry budget, until that is used up.
package shedder

import (
	"math"
	"time"
)

const (
	// excess is the rate that a target gets beside the accepted rate, as a fraction of the rate before the first rejection, so
	// that the estimate grows when the target accepts more. Each rejection has to be made up for by a retry. Callers allow
	// one retry for five requests, and a slack of some one for twenty at the services that this was designed for.
	excess = 0.25
	// trialRate is the least rate beside the accepted one, in requests per second, and the rate of a target that accepts
	// nothing. The trials of a service whose targets each get some seven requests a second then take half of a retry budget of one
	// in five.
	trialRate = 1 / 1.5
	// rateMemory is the time constant of the estimate of the accepted rate.
	rateMemory = 2 * time.Second
	// closedAfter is the number of rejections in a row after which the target is taken to accept nothing, and closedDecay the
	// factor of the accepted rate at each further one. The load returns faster after that than from zero.
	closedAfter = 4
	closedDecay = 0.5
	// growthAfter is the number of requests accepted in a row after which the rate doubles with each growthStep more. At a
	// constant limit of the target's, excess leads to a rejection sooner.
	growthAfter = 4
	growthStep  = 1
	maxDoubling = 10
	// settleTime is the time after which a request that was not rejected counts as accepted. Targets reject at once, while the
	// answer to an accepted request takes as long as its work.
	settleTime = 100 * time.Millisecond
	// reopenTime is how long a target that accepts nothing is expected to go on, which is not known: such loads last for seconds.
	reopenTime = 2 * time.Second
	// forgetAfter is the time without a rejection after which the target is no longer paced. It is two trials.
	forgetAfter = 3 * time.Second
)

// Pace is the pace of one target. It is immutable. The zero value has seen no rejection, and paces nothing.
type Pace struct {
	// accepted estimates the rate of accepted requests as of updated, and before is that at the first rejection.
	accepted float64
	updated  time.Time
	before   float64

	rejectedAt time.Time
	// acceptedInRow and rejectedInRow count the outcomes since the last other one. closed is set while the target is taken to
	// accept nothing, and until its rate has returned.
	acceptedInRow int
	rejectedInRow int
	closed        bool
	nextAt        time.Time
	// sentAt is when the last paced request was sent, if pending, and settled counts the requests that count as accepted and
	// have not been answered.
	sentAt  time.Time
	pending bool
	settled int
}

// acceptedAt returns the accepted rate at now.
func (p Pace) acceptedAt(now time.Time) float64 {
	if p.updated.IsZero() {
		return 0
	}
	return p.accepted * math.Exp(-max(now.Sub(p.updated), 0).Seconds()/rateMemory.Seconds())
}

// Active reports whether the target is paced at now.
func (p Pace) Active(now time.Time) bool {
	return !p.rejectedAt.IsZero() && now.Sub(p.rejectedAt) < forgetAfter
}

// Rate returns the rate in requests per second that the target gets at now, or 0 if it is not paced.
func (p Pace) Rate(now time.Time) float64 {
	if !p.Active(now) {
		return 0
	}
	rate := p.acceptedAt(now) + max(excess*p.before, trialRate)
	switch {
	case p.closed && p.acceptedInRow == 0:
		rate = p.acceptedAt(now) + trialRate
	case p.closed:
		rate = max(rate, p.before*float64(p.acceptedInRow))
	}
	if p.acceptedInRow > growthAfter {
		rate *= math.Exp2(min(float64(p.acceptedInRow-growthAfter)/growthStep, maxDoubling))
	}
	return rate
}

// WithAcceptance returns the pace after the target has accepted a request at now.
func (p Pace) WithAcceptance(now time.Time) Pace {
	p = p.settle(now)
	if p.settled > 0 {
		p.settled--
		return p
	}
	p.pending = false
	return p.withAccepted(now)
}

// settle counts the last request as accepted at now if it was not rejected within settleTime.
func (p Pace) settle(now time.Time) Pace {
	if !p.pending || now.Sub(p.sentAt) < settleTime {
		return p
	}
	p.pending = false
	p.settled++
	return p.withAccepted(now)
}

func (p Pace) withAccepted(now time.Time) Pace {
	p.accepted, p.updated = p.acceptedAt(now)+1/rateMemory.Seconds(), now
	if !p.Active(now) {
		return p
	}
	p.acceptedInRow++
	p.rejectedInRow = 0
	if turnAt := now.Add(p.interval(now)); p.nextAt.After(turnAt) {
		p.nextAt = turnAt
	}
	return p
}

// WithRejection returns the pace after the target has rejected a request at now.
func (p Pace) WithRejection(now time.Time) Pace {
	p.pending = false
	p.accepted, p.updated = p.acceptedAt(now), now
	if !p.Active(now) {
		p.settled = 0
		p.before, p.rejectedInRow, p.closed = p.accepted, 0, false
	}
	p.acceptedInRow = 0
	p.rejectedInRow++
	if p.rejectedInRow >= closedAfter {
		p.accepted *= closedDecay
		p.closed = true
	} else if p.rejectedInRow == 1 {
		p.closed = false
	}
	p.rejectedAt = now
	p.nextAt = now.Add(p.interval(now))
	return p
}

// Reopens returns how long it takes at now until the target is expected to accept requests again, or 0 if it accepts some. Only
// its trials are accepted by chance before.
func (p Pace) Reopens(now time.Time) time.Duration {
	p = p.settle(now)
	if !p.Active(now) || !p.closed || p.acceptedInRow > 0 {
		return 0
	}
	return reopenTime
}

func (p Pace) interval(now time.Time) time.Duration {
	return time.Duration(float64(time.Second) / p.Rate(now))
}

// Admit takes the turn for a request at now. If it is not yet its turn, it returns when to ask again at the latest.
func (p Pace) Admit(now time.Time) (next Pace, turnAt time.Time, ok bool) {
	p = p.settle(now)
	switch {
	case !p.Active(now):
		return p, time.Time{}, true
	case now.Before(p.nextAt):
		turnAt = p.nextAt
		if settleAt := p.sentAt.Add(settleTime); p.pending && settleAt.Before(turnAt) {
			turnAt = settleAt
		}
		return p, turnAt, false
	}
	p.nextAt = now.Add(p.interval(now))
	p.sentAt, p.pending = now, true
	return p, time.Time{}, true
}

// Wait returns how long a request waits at now for its turn if ahead others go before it.
func (p Pace) Wait(now time.Time, ahead int) time.Duration {
	p = p.settle(now)
	if !p.Active(now) {
		return 0
	}
	return max(p.nextAt.Sub(now), 0) + time.Duration(ahead)*p.interval(now)
}
