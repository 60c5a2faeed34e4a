// Package abandoner decides whether an entry abandons an attempt while it receives nothing from the gate.
//
// Silence proves nothing about the run: the entry, the gate or the link between them may be busy while the target works on
// the request, and ending the attempt would end that run. So an entry that hears nothing asks the gate about the attempt over
// other connections, and only the reply can end the attempt. If none comes, or if replies come and no frame of the attempt,
// the request may be sent to a second target, beside the attempt, if it is repeatable.
package abandoner

import (
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

const (
	// repliesUntilStalled is the number of replies in a row, without a frame of the attempt between them, that show that the
	// attempt's own connection has stalled. A reply takes the same links as the frames that the gate sent before it.
	repliesUntilStalled = 2
	// maxDoublings bounds how often the interval between two questions doubles.
	maxDoublings = 3
)

// Silence is what an entry knows about an attempt since the last frame of the gate. It is immutable. The zero value is an
// attempt without any question.
type Silence struct {
	replies    int
	unanswered int
}

// Decision is Wait, Assist, Recall, Withdraw or GiveUp.
type Decision interface{ decision() }

// Wait keeps the attempt.
type Wait struct{}

// Assist keeps the attempt, and a repeatable request may also go to another target. Reached tells whether the gate replied,
// so that only the attempt's own connection has stalled, which may recover.
type Assist struct{ Reached bool }

// Recall asks the gate for a tombstone, if the request can be sent again after that. The attempt has not reached its gate,
// though the question has, which was sent later over the same links.
type Recall struct{}

// Withdraw ends the attempt, because the gate promised not to start it.
type Withdraw struct{}

// GiveUp ends the attempt with an unknown outcome, because its gate neither runs it nor knows it any more.
type GiveUp struct{}

func (Wait) decision()     {}
func (Assist) decision()   {}
func (Recall) decision()   {}
func (Withdraw) decision() {}
func (GiveUp) decision()   {}

// WithReply returns the silence after the gate replied to a question with state, and what follows for the attempt.
func (s Silence) WithReply(state tombstoner.State) (Silence, Decision) {
	if tombstoner.Outcome(state) == (refuser.NotRun{}) {
		return s, Withdraw{}
	}
	s.replies++
	s.unanswered = 0
	if state == (tombstoner.Unseen{}) {
		return s, Recall{}
	}
	if s.replies < repliesUntilStalled {
		return s, Wait{}
	}
	if state == (tombstoner.Forgotten{}) {
		return s, GiveUp{}
	}
	return s, Assist{Reached: true}
}

// WithoutReply returns the silence after a question got no reply, and what follows for the attempt.
func (s Silence) WithoutReply() (Silence, Decision) {
	s.unanswered++
	return s, Assist{}
}

// Interval returns how long to wait for a frame until the next question. shortest is the interval while the gate replies.
func (s Silence) Interval(shortest time.Duration) time.Duration {
	return shortest << min(s.unanswered, maxDoublings)
}
