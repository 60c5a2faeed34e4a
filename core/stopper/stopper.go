// Package stopper decides when the steps of a stop end and what is done to a request at each moment of it. All times
// are fixed when the signal arrives, so that no step can delay the end, whatever it waits for.
package stopper

import "time"

const (
	// maxLeaveShare and maxLastRequestShare bound the first two steps to fractions of the grace period.
	maxLeaveShare       = 0.30
	maxLastRequestShare = 0.05
	// marginShare is the fraction of the grace period, and maxMargin the longest time, that remains after requests are
	// broken off: for their answers, and for the end of the process.
	marginShare = 0.10
	maxMargin   = 2 * time.Second
	// closeShare, endShare and exitShare are the fractions of the margin after which connections are closed, background
	// tasks have ended and the process exits.
	closeShare = 0.50
	endShare   = 0.80
	exitShare  = 0.95
)

// Policy holds the settings of a stop. The process must have ended after Grace. Leave is the time in which the fleet and
// the callers learn that the process leaves; LastRequest is the time that callers have to send a request over a
// connection that they opened last. Both are shortened where they take too much of Grace.
type Policy struct {
	Grace       time.Duration
	Leave       time.Duration
	LastRequest time.Duration
}

// Plan holds the times of one stop. Connections are accepted until ListenUntil. Requests of other nodes that arrive
// later are refused, and so are callers' requests that arrive after AcceptUntil. Requests in progress are broken off at
// BreakOffAt, connections are closed at CloseAt, background tasks are abandoned at EndAt, and the process exits at ExitAt,
// shortly before the end of the grace period.
type Plan struct {
	ListenUntil time.Time
	AcceptUntil time.Time
	BreakOffAt  time.Time
	CloseAt     time.Time
	EndAt       time.Time
	ExitAt      time.Time
}

// New returns the plan of a stop whose signal arrived at now.
func New(now time.Time, policy Policy) Plan {
	grace := max(policy.Grace, 0)
	margin := min(share(grace, marginShare), maxMargin)
	breakOff := now.Add(grace - margin)
	listen := now.Add(min(max(policy.Leave, 0), share(grace, maxLeaveShare)))
	return Plan{
		ListenUntil: listen,
		AcceptUntil: listen.Add(min(max(policy.LastRequest, 0), share(grace, maxLastRequestShare))),
		BreakOffAt:  breakOff,
		CloseAt:     breakOff.Add(share(margin, closeShare)),
		EndAt:       breakOff.Add(share(margin, endShare)),
		ExitAt:      breakOff.Add(share(margin, exitShare)),
	}
}

func share(of time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(of))
}

// Request is the state of a request during a stop. It is FromCaller, FromNode, Running or Answering.
type Request interface{ request() }

// FromCaller is a caller's request that has just been read.
type FromCaller struct{}

// FromNode is a request that another node has just sent to the gate.
type FromNode struct{}

// Running is a request in progress whose answer has not begun.
type Running struct{}

// Answering is a request whose answer has begun.
type Answering struct{}

func (FromCaller) request() {}
func (FromNode) request()   {}
func (Running) request()    {}
func (Answering) request()  {}

// Action is what is done to a request. It is Serve, Refuse, Wait or BreakOff.
type Action interface{ action() }

// Serve lets a request begin.
type Serve struct{}

// Refuse refuses a request before it begins, so that its outcome is that it has not run.
type Refuse struct{}

// Wait lets a request go on until a time.
type Wait struct{ Until time.Time }

// BreakOff ends a request. If its answer has not begun, the answer says that the outcome is unknown.
type BreakOff struct{}

func (Serve) action()    {}
func (Refuse) action()   {}
func (Wait) action()     {}
func (BreakOff) action() {}

// Decide returns what is done at now to a request in the given state.
func (p Plan) Decide(now time.Time, request Request) Action {
	switch request.(type) {
	case FromCaller:
		return serveUntil(now, p.AcceptUntil)
	case FromNode:
		return serveUntil(now, p.ListenUntil)
	case Running:
		return waitUntil(now, p.BreakOffAt)
	case Answering:
		return waitUntil(now, p.CloseAt)
	}
	return BreakOff{}
}

func serveUntil(now, end time.Time) Action {
	if now.Before(end) {
		return Serve{}
	}
	return Refuse{}
}

func waitUntil(now, end time.Time) Action {
	if now.Before(end) {
		return Wait{Until: end}
	}
	return BreakOff{}
}
