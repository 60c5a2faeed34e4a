package gatekeeper

import (
	"net/http"
	"sync"
	"time"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/forwarder"
)

// trackAttempt records the start of an attempt on target, and returns the function that records its result.
func (g *Gatekeeper) trackAttempt(target registrar.Announcement, head forwarder.Head) func(observer.Result) {
	recordResult, start := g.trackUnstarted(target, head)
	start()
	return recordResult
}

// trackUnstarted is trackAttempt for an attempt that the breaker is to time from the call of start on, or from its result if that
// comes first.
func (g *Gatekeeper) trackUnstarted(target registrar.Announcement, head forwarder.Head) (record func(observer.Result), start func()) {
	recordResult := g.watcher.Start(target.Name, target.Service)
	if head.Objective == 0 {
		return recordResult, func() {}
	}
	began := time.Now()
	start = sync.OnceFunc(func() {
		g.updateTarget(target.Name, func(now time.Time, state *targetState) { state.recordStart(now, head) })
	})
	return func(result observer.Result) {
		start()
		recordResult(result)
		g.updateTarget(target.Name, func(now time.Time, state *targetState) {
			outcome := state.explain(now, breakerResult(result))
			state.breaker.End(now, head.AttemptID, outcome)
			if _, served := outcome.(breaker.Served); served {
				state.recordDuration(head.Objective, now.Sub(began))
			}
		})
	}, start
}

// RecordFailedCall records that a call has failed which a target of this VM has made.
func (g *Gatekeeper) RecordFailedCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.states {
		state.failedCalls = state.failedCalls.WithFailure(time.Now())
	}
}

// explain returns result, or CallFailed for a failure that follows from that of a call.
func (s *targetState) explain(now time.Time, result breaker.Result) breaker.Result {
	if _, failed := result.(breaker.Failed); !failed {
		return result
	}
	var explained bool
	if s.failedCalls, explained = s.failedCalls.Explain(now); explained {
		return breaker.CallFailed{}
	}
	return result
}

// breakerResult converts the result of an attempt to evidence for the circuit breaker.
func breakerResult(result observer.Result) breaker.Result {
	switch result := result.(type) {
	case observer.Answered:
		if result.Status >= http.StatusInternalServerError {
			return breaker.Failed{}
		}
		return breaker.Served{}
	case observer.Canceled:
		return breaker.Canceled{}
	default:
		return breaker.Failed{}
	}
}
