package gatekeeper

import (
	"net/http"
	"time"

	"samphiremount.example/core/admitter"
	"samphiremount.example/core/breaker"
	"samphiremount.example/core/estimator"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/queuer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/shedder"
	"samphiremount.example/node/pkg/forwarder"
)

// EnableAdmission makes the gate order, queue and reject requests as package admitter says. Requests whose calls cannot be served
// according to callable are not started; nil starts all. It must be called before the first request.
func (g *Gatekeeper) EnableAdmission(callable Callable) { g.admission, g.callable = true, callable }

// EnablePaces makes a gate with admission pace targets that shed load as package shedder says. It must be called before the first
// request. It is of no use where targets reject a part of their requests at random, whatever their rate: each request that a pace
// keeps away is then one that such a target would have accepted as likely as any other.
func (g *Gatekeeper) EnablePaces() { g.paces = true }

// admissionState is what a gate with admission holds of one target. wakeAt is when the queue is looked at again because of the pace.
type admissionState struct {
	pace   shedder.Pace
	wakeAt time.Time
	wake   func(at time.Time)
}

// newState returns the state of a target with that number of slots.
func (g *Gatekeeper) newState(slots int) *targetState {
	state := newTargetState(slots)
	if !g.admission {
		return state
	}
	state.queue = state.queue.WithAdmission()
	state.admission = &admissionState{wake: func(at time.Time) {
		time.AfterFunc(time.Until(at), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			state.grantSlots(time.Now())
		})
	}}
	return state
}

// request returns what the order depends on for the request of head.
func (s *targetState) request(head forwarder.Head) admitter.Request {
	request := admitter.Request{
		Rank: int(head.Rank), Nested: head.Nested, Retried: head.Retried, Objective: head.Objective, Work: s.expectedDuration(head),
		Deadline: head.Deadline,
	}
	if head.Objective > 0 {
		request.LatestStart = head.ObjectiveDeadline.Add(-likelyDuration(s.estimates[head.Objective], head.Objective))
	}
	return request
}

// likelyDuration returns a duration that a request with the objective exceeds now and then. Those that wait longest start last,
// and the mean would make half of them late. The margin is at most half of what the objective leaves beside the mean, so that
// widely spread durations do not make all requests late from the beginning.
func likelyDuration(estimate estimator.Estimate, objective time.Duration) time.Duration {
	mean := estimate.Mean()
	return mean + max(min((estimate.High()-mean)/2, (objective-mean)/2), 0)
}

// waiter returns the request of head as a waiter that leaves the queue at until.
func (s *targetState) waiter(head forwarder.Head, until time.Time) queuer.Waiter {
	waiter := queuer.Waiter{
		Workspace: head.Workspace, Weight: head.Weight, Rank: int(head.Rank), Nested: head.Nested, Deadline: until,
		LatestStart: s.latestStart(head),
	}
	if s.admission != nil {
		request := s.request(head)
		waiter.Retried, waiter.Work, waiter.Objective = request.Retried, request.Work, request.Objective
		waiter.LatestStart = request.LatestStart
	}
	return waiter
}

// place returns the place that the request of head would take at now.
func (s *targetState) place(now time.Time, head forwarder.Head) admitter.Place {
	ahead, work := s.queue.Ahead(now, s.waiter(head, head.Deadline))
	free := max(s.usableSlots(now, head.Nested)-s.inFlight, 0)
	if s.exclusive || len(s.exclusiveWaiting) > 0 {
		free = 0
	}
	return admitter.Place{
		Slots: max(s.usableSlots(now, head.Nested), 1), Free: free, Ahead: ahead, Work: work, PaceWait: s.admission.pace.Wait(now, ahead),
		Reopens: s.admission.pace.Reopens(now),
	}
}

// admitWaiter returns the time until which the request of head may wait for a slot, or a refusal if it must not wait.
func (g *Gatekeeper) admitWaiter(now time.Time, state *targetState, head forwarder.Head) (time.Time, error) {
	if state.admission == nil {
		return waitDeadline(now, head), state.checkCapacity(now, head)
	}
	place, request := state.place(now, head), state.request(head)
	refusal := &refuser.Refusal{Kind: refuser.CapacityShort, Outcome: refuser.NotRun{}, Load: state.inFlight + state.queue.Len()}
	var reason string
	var wait time.Duration
	switch verdict := admitter.Judge(now, request, place, head.Immediate).(type) {
	case admitter.Queue:
		return verdict.Until, nil
	case admitter.Reject:
		state.queue.RecordRejection(now, state.waiter(head, head.Deadline))
		reason, wait, refusal.RetryAt = "late", verdict.Wait, verdict.RoomAt
		refusal.Detail = "the target has no room before the deadline"
	case admitter.Pass:
		reason, wait, refusal.RetryAt = "full", verdict.Wait, verdict.RoomAt
		refusal.Detail = "no slot of the target is free"
		if verdict.Paced {
			reason, refusal.Kind = "shed", refuser.TargetLimited
			refusal.Detail = "the target gets as many requests as it accepts"
		}
	default:
	}
	g.counts.Add("short_"+reason, 1)
	g.log.Info("request found no room", "request", head.AttemptID, "target", head.Target, "reason", reason, "rank", request.Rank,
		"inner", request.Nested, "remaining", request.Deadline.Sub(now), "work", request.Work, "wait", wait, "ahead", place.Ahead,
		"free", place.Free, "pace", state.admission.pace.Rate(now))
	return time.Time{}, refusal
}

// releaseWaiters ends the wait of all requests at a target that has become suspect: it may hang, and with admission they would wait
// longer than without.
func (s *targetState) releaseWaiters(verdict breaker.Verdict) {
	if _, suspect := verdict.(breaker.Suspect); !suspect || s.admission == nil {
		return
	}
	for _, ticket := range s.queue.Clear() {
		s.notify(ticket, false)
	}
}

// hasTurn reports whether the target may get a request at now, as far as its pace is concerned. If not, the queue is looked at
// again when it may.
func (s *targetState) hasTurn(now time.Time) bool {
	if s.admission == nil || s.queue.Len() == 0 {
		return true
	}
	_, turnAt, ok := s.admission.pace.Admit(now)
	if !ok && (!s.admission.wakeAt.After(now) || turnAt.Before(s.admission.wakeAt)) {
		s.admission.wakeAt = turnAt
		s.admission.wake(turnAt)
	}
	return ok
}

// takeTurn records that the target gets a request at now.
func (s *targetState) takeTurn(now time.Time) {
	if s.admission != nil {
		s.admission.pace, _, _ = s.admission.pace.Admit(now)
	}
}

// declineResult records that a target answered with status that it did not run the request, and returns what that shows about
// its health. Load that it sheds is no sign of a gray failure: its pace keeps further requests away.
func (g *Gatekeeper) declineResult(target string, refusal *refuser.Refusal, status int) observer.Result {
	failed := observer.Answered{Status: http.StatusServiceUnavailable}
	if !g.paces || refusal.Kind != refuser.TargetDeclined || status != http.StatusServiceUnavailable {
		return failed
	}
	g.counts.Add("shed_by_target", 1)
	g.updateTarget(target, func(now time.Time, state *targetState) {
		active := state.admission.pace.Active(now)
		state.admission.pace = state.admission.pace.WithRejection(now)
		if !active {
			g.log.Info("target sheds load", "target", target, "pace", state.admission.pace.Rate(now))
		}
	})
	return observer.Canceled{}
}

// recordAccepted records that a target ran a request, which counts for its pace.
func (g *Gatekeeper) recordAccepted(target string) {
	if !g.admission {
		return
	}
	g.updateTarget(target, func(now time.Time, state *targetState) {
		state.admission.pace = state.admission.pace.WithAcceptance(now)
		state.grantSlots(now)
	})
}

// acceptAnswer records that target ran a request with the objective, and adds the load of the target to the header of its answer.
func (g *Gatekeeper) acceptAnswer(header http.Header, target string, objective time.Duration) {
	g.recordAccepted(target)
	g.setLoadHeaders(header, target, objective)
}
