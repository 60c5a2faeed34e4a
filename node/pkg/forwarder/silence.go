package forwarder

import (
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/abandoner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

// errForgotten is the reason for ending an attempt whose gate does not know it any more.
var errForgotten = errors.New("the gate does not know the attempt any more")

// questions ask the gate about an attempt over other connections, and return the gate's reply, if any: look what it knows, and
// placeTombstone not to start the attempt.
type questions struct {
	look           func() (tombstoner.State, bool)
	placeTombstone func() (tombstoner.State, bool)
}

// handleTimeout is called when the gate sent no frame for the idle timeout. It asks the gate about the attempt, and then
// waits for the next frame again unless the reply ends the attempt.
func (e *exchange) handleTimeout() {
	e.logSilence("gate silent", "timer", e.idle.current())
	e.mu.Lock()
	e.silent = true
	frames := e.frames
	e.mu.Unlock()
	e.group.Go(func() error {
		decision := e.question(frames)
		if e.stream.Context().Err() != nil {
			return nil
		}
		switch decision := decision.(type) {
		case abandoner.Withdraw:
			e.end(decision, "the gate promised not to start it")
		case abandoner.Recall:
			e.recall()
		case abandoner.GiveUp:
			e.end(decision, errForgotten.Error())
		case abandoner.Assist:
			if e.destination.OnSilence != nil {
				e.destination.OnSilence(decision.Reached)
			}
		case abandoner.Wait:
		}
		return nil
	})
}

// question asks the gate about the attempt and returns what follows. frames is the number of frames that had arrived when the
// gate became silent. If another one has come since, the silence is over, and only a promise still counts.
func (e *exchange) question(frames int) abandoner.Decision {
	state, ok := e.questions.look()
	e.mu.Lock()
	defer e.mu.Unlock()
	var silence abandoner.Silence
	var decision abandoner.Decision
	if ok {
		silence, decision = e.silence.WithReply(state)
	} else {
		silence, decision = e.silence.WithoutReply()
	}
	if e.frames != frames {
		if _, promised := decision.(abandoner.Withdraw); !promised {
			decision = abandoner.Wait{}
		}
		return decision
	}
	e.silence = silence
	e.idle.setTimeout(silence.Interval(idleTimeout))
	return decision
}

// recall ends the attempt if the request can be sent again and the gate promises not to start it.
func (e *exchange) recall() {
	if mayResend := e.destination.MayResend; mayResend != nil && !mayResend() {
		return
	}
	if e.withheld != nil && e.withheld.withdraw() {
		// The gate waits for the body, which it will not get. A tombstone would leave time for a late grant.
		e.end(abandoner.Withdraw{}, "the body was not sent")
		return
	}
	state, ok := e.questions.placeTombstone()
	if ok && tombstoner.Outcome(state) == (refuser.NotRun{}) {
		e.end(abandoner.Withdraw{}, "the gate promised not to start it")
	}
}

// endSilence records that a frame has arrived.
func (e *exchange) endSilence() {
	e.mu.Lock()
	silent := e.silent
	e.frames++
	e.silence, e.silent = abandoner.Silence{}, false
	e.mu.Unlock()
	if silent {
		e.logSilence("gate heard again")
	}
}

// end ends the attempt for the reason that decision gives.
func (e *exchange) end(decision abandoner.Decision, reason string) {
	e.logSilence("attempt given up", "reason", reason)
	e.mu.Lock()
	e.ended = decision
	e.mu.Unlock()
	e.cancel()
}

// decision returns the decision that ended the attempt, or nil.
func (e *exchange) decision() abandoner.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// logSilence logs an event of a silence, with the time since the attempt was sent and what the gate has said about the run.
func (e *exchange) logSilence(event string, attributes ...any) {
	attributes = append(attributes, "request", e.head.AttemptID, "target", e.head.Target, "since", time.Since(e.startedAt),
		"heard", e.heard.Load(), "running", e.running.Load())
	e.log.Info(event, attributes...) //nolint:sloglint // all callers pass constants
}
