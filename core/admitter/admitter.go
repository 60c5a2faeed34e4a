// Package admitter decides, while a service has too little room, which requests get it: the order in which they get slots,
// which of them are rejected before they wait, and which are rejected at the entry before their body moves. The entry, the
// gate and its queue share this order.
//
// It is designed for bursts that exceed the capacity of a service for some seconds, and for targets that shed load. Without
// it, requests are passed from one full target to the next until their objective is nearly over, and a kind of request with
// a short objective gives up before others that are less urgent.
package admitter

import (
	"cmp"
	"math"
	"time"
)

// Request holds what its place in the order depends on. Rank is its urgency, the lowest first. Nested marks a call of a run
// that has begun. Retried marks a request of which an earlier attempt reached a target and failed. Work is how long a target
// is expected to need for it. If it is not started by LatestStart, it misses its objective; a zero LatestStart means that it
// has none. Its caller stops waiting at Deadline.
type Request struct {
	Rank        int
	Nested      bool
	Retried     bool
	Objective   time.Duration
	Work        time.Duration
	LatestStart time.Time
	Deadline    time.Time
}

// OnTime reports whether the request meets its objective if it is started at now.
func (r Request) OnTime(now time.Time) bool {
	return r.LatestStart.IsZero() || now.Before(r.LatestStart)
}

// LastStart is the last time at which the request can start and end before its deadline.
func (r Request) LastStart() time.Time { return r.Deadline.Add(-r.Work) }

// class returns the position of the request's class: requests of a lower one get slots first, whatever their rank.
func (r Request) class() int {
	if r.Nested {
		return classNested
	}
	return classNew
}

const (
	// classNested is the class of calls of runs that have begun: a run that fails for want of a call has used its slot for
	// nothing.
	classNested = iota
	classNew
)

// workStep is the factor between two steps of work that the order tells apart. The estimates of two kinds with the same work
// differ by less.
const workStep = 1.5

// workSteps returns the work in steps.
func (r Request) workSteps() int {
	if r.Work <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log(float64(r.Work)) / math.Log(workStep)))
}

// Order is the order at one time. behind holds the kinds that have been served too rarely.
type Order struct {
	now    time.Time
	behind map[Kind]bool
}

// Compare returns a negative number if a gets a slot before b, a positive one if after b, and 0 if the order does not tell.
// Calls of runs that have begun go first. Then go requests that have failed as trials and can still be on time, kinds that
// have been served too rarely, requests that can be on time, more urgent ones, and those that need less work.
func (o Order) Compare(a, b Request) int {
	onTimeA, onTimeB := a.OnTime(o.now), b.OnTime(o.now)
	return cmp.Or(
		cmp.Compare(a.class(), b.class()),
		first(a.Retried && onTimeA, b.Retried && onTimeB),
		first(o.behind[kindOf(a)], o.behind[kindOf(b)]),
		first(onTimeA, onTimeB),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.workSteps(), b.workSteps()),
	)
}

// first compares two conditions: one that holds goes first.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
