package gatekeeper

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/estimator"
	"samphiremount.example/core/queuer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/regulator"
	"samphiremount.example/core/reserver"
	"samphiremount.example/node/pkg/forwarder"
)

const (
	// waitersPerSlot bounds the queue of a target.
	waitersPerSlot = 8
	// maxSlotWait bounds how long a request waits for a slot. After that it is refused as not run.
	maxSlotWait = time.Second
	// waitFraction is the fraction of the time until a request's objective, or after that until its deadline, for which
	// it waits at one target. The rest is enough for another target to serve it.
	waitFraction = 0.4
	// assumedMeanFraction is the fraction of its objective that a request is assumed to take as long as none with that
	// objective was served: operators set objectives to about three times the mean.
	assumedMeanFraction = 1.0 / 3
	// maxEstimates bounds the number of objectives with an estimate of their own.
	maxEstimates = 64
)

// waitDeadline returns the time until which a request that starts to wait at now waits for a slot of this target.
func waitDeadline(now time.Time, head forwarder.Head) time.Time {
	end := head.Deadline
	if head.ObjectiveDeadline.After(now) && head.ObjectiveDeadline.Before(end) {
		end = head.ObjectiveDeadline
	}
	wait := min(time.Duration(waitFraction*float64(end.Sub(now))), maxSlotWait)
	return now.Add(max(wait, 0))
}

// checkCapacity refuses a request that would most likely miss its deadline here, and one that needs an immediate slot
// while none is free.
func (s *targetState) checkCapacity(now time.Time, head forwarder.Head) error {
	full := s.inFlight >= s.usableSlots(now, head.Nested) || !head.Nested && s.queue.Len() > 0 || len(s.exclusiveWaiting) > 0
	var detail string
	switch {
	case full && head.Immediate:
		detail = "no slot of the target is free"
	case now.Add(s.estimates[head.Objective].Mean()).After(head.Deadline):
		detail = "too little time is left"
	default:
		return nil
	}
	return &refuser.Refusal{
		Kind: refuser.CapacityShort, Outcome: refuser.NotRun{}, Detail: detail, Load: s.inFlight + s.queue.Len(),
	}
}

// usableSlots returns the number of slots that a request may use: all of them for a nested call, otherwise only the
// unreserved ones.
func (s *targetState) usableSlots(now time.Time, nested bool) int {
	if nested {
		return s.slots
	}
	return s.reserver.Unreserved(now, s.slots)
}

// recordStart reports to the circuit breaker that the request goes to the target.
func (s *targetState) recordStart(now time.Time, head forwarder.Head) {
	estimate := s.estimates[head.Objective]
	s.breaker.Start(now, head.AttemptID, breaker.Expectation{
		Mean:      s.expectedDuration(head),
		SlowAt:    now.Add(max(head.Objective/2, estimate.High())),
		OverdueAt: now.Add(max(head.Objective, estimate.High())),
	})
}

// expectedDuration returns how long the request is expected to take.
func (s *targetState) expectedDuration(head forwarder.Head) time.Duration {
	return cmp.Or(s.estimates[head.Objective].Mean(), time.Duration(assumedMeanFraction*float64(head.Objective)))
}

// latestStart returns the time after which a request that starts here would most likely miss its objective, or the zero
// time if it has none.
func (s *targetState) latestStart(head forwarder.Head) time.Time {
	if head.Objective == 0 {
		return time.Time{}
	}
	return head.ObjectiveDeadline.Add(-s.estimates[head.Objective].Mean())
}

// recordDuration adds span, the duration of a served request, to the estimate for its objective. Requests of one kind
// have one objective, so the objective identifies the kind.
func (s *targetState) recordDuration(objective, span time.Duration) {
	if len(s.estimates) >= maxEstimates {
		clear(s.estimates)
	}
	s.estimates[objective] = s.estimates[objective].With(span)
}

// checkVerdict refuses a request that would most likely hang or fail on a target with the verdict. Requests of routes
// without an objective are admitted, since it is unknown how long a healthy target takes for them, and so are those that
// allow a suspect target.
func checkVerdict(verdict breaker.Verdict, head forwarder.Head) error {
	if head.AllowSuspect || head.Objective == 0 {
		return nil
	}
	switch verdict := verdict.(type) {
	case breaker.Doubtful:
		if head.HealthyOnly || !verdict.TrialAllowed {
			return refuser.Refuse(refuser.TargetSuspect, "doubtful")
		}
	case breaker.Suspect:
		if head.HealthyOnly || !verdict.TrialAllowed {
			return refuser.Refuse(refuser.TargetSuspect, "suspect")
		}
	case breaker.Healthy:
	}
	return nil
}

// stateOf returns the state of target. It creates a new one for an unknown target, and for an idle target whose number
// of slots has changed. The caller holds the lock.
func (g *Gatekeeper) stateOf(target registrar.Announcement) *targetState {
	state, ok := g.states[target.Name]
	switch {
	case !ok || state.startedAt != target.StartedAt && state.isIdle():
		state = g.newState(target.Slots)
	case state.slots != target.Slots && state.isIdle():
		limit := state.regulator
		state = g.newState(target.Slots)
		state.regulator = limit
	}
	state.startedAt = target.StartedAt
	g.states[target.Name] = state
	return state
}

// updateTarget applies update to the state of the target called name, if there is one, and logs the verdict on the
// target if it changed.
func (g *Gatekeeper) updateTarget(name string, update func(now time.Time, state *targetState)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state, ok := g.states[name]; ok {
		now := time.Now()
		update(now, state)
		g.targetVerdict(now, name, state)
	}
}

// targetVerdict returns the verdict on target. A changed verdict is logged with its evidence. The caller holds the
// lock.
func (g *Gatekeeper) targetVerdict(now time.Time, target string, state *targetState) breaker.Verdict {
	verdict := state.breaker.Verdict(now)
	name := breaker.Name(verdict)
	if name == state.loggedVerdict {
		return verdict
	}
	evidence := state.breaker.Evidence()
	g.log.Info("target judged", "target", target, "verdict", name, "before", state.loggedVerdict, "failures", evidence.Failures,
		"missing", evidence.MissedEnds, "running", evidence.Running)
	state.loggedVerdict = name
	state.releaseWaiters(verdict)
	return verdict
}

// targetState holds the slots of one target, the queue of requests that wait for them and the evidence on its health.
// loggedVerdict is the name of the verdict that was logged last.
type targetState struct {
	startedAt   int64
	slots       int
	inFlight    int
	breaker     *breaker.Breaker
	failedCalls breaker.Calls
	// unhealthyAt is when the target was last told not to be healthy.
	unhealthyAt   time.Time
	loggedVerdict string
	estimates     map[time.Duration]estimator.Estimate
	reserver      reserver.Reserver
	regulator     regulator.Regulator
	loggedLimit   regulator.Limit
	queue         *queuer.Queuer
	waiting       map[string]chan bool
	lastTicket    uint64
	// exclusiveWaiting holds the tickets of requests that wait for all slots; exclusive is set while one of them runs.
	exclusiveWaiting []string
	exclusive        bool
	// admission is nil at a gate without admission.
	admission *admissionState
}

// isIdle reports whether no request runs on the target or waits for it.
func (s *targetState) isIdle() bool { return s.inFlight == 0 && len(s.waiting) == 0 }

func newTargetState(slots int) *targetState {
	return &targetState{
		slots: slots, breaker: breaker.New(), loggedVerdict: breaker.Name(breaker.Healthy{}),
		estimates: make(map[time.Duration]estimator.Estimate), queue: queuer.New(waitersPerSlot * slots),
		waiting: make(map[string]chan bool),
	}
}

// enqueue adds a request to the queue until the time until, or to those that wait for all slots if alone is set. The channel
// delivers whether it got a slot.
func (s *targetState) enqueue(now, until time.Time, head forwarder.Head, alone bool) (ticket string, granted chan bool) {
	s.lastTicket++
	ticket, granted = strconv.FormatUint(s.lastTicket, 36), make(chan bool, 1)
	s.waiting[ticket] = granted
	if alone {
		s.exclusiveWaiting = append(s.exclusiveWaiting, ticket)
		s.grantSlots(now)
		return ticket, granted
	}
	waiter := s.waiter(head, until)
	waiter.ID = ticket
	dropped := s.queue.Push(now, waiter)
	if dropped != "" {
		s.notify(dropped, false)
	}
	s.grantSlots(now)
	return ticket, granted
}

// grantSlots gives the free slots to the waiting requests whose turn it is. While a request waits for all slots, no
// other starts.
func (s *targetState) grantSlots(now time.Time) {
	if s.exclusive {
		return
	}
	if len(s.exclusiveWaiting) > 0 {
		if s.inFlight == 0 {
			s.inFlight, s.exclusive = 1, true
			ticket := s.exclusiveWaiting[0]
			s.exclusiveWaiting = s.exclusiveWaiting[1:]
			s.notify(ticket, true)
		}
		return
	}
	for s.inFlight < s.slots && s.hasTurn(now) {
		next, expired, ok := s.queue.Pop(now, s.inFlight >= s.usableSlots(now, false))
		for _, ticket := range expired {
			s.notify(ticket, false)
		}
		if !ok {
			return
		}
		s.takeTurn(now)
		s.inFlight++
		s.notify(next.ID, true)
	}
}

func (s *targetState) notify(ticket string, granted bool) {
	s.waiting[ticket] <- granted
	delete(s.waiting, ticket)
}

// dequeue removes a ticket, which has expired or was given up, and reports whether it was still waiting.
func (s *targetState) dequeue(now time.Time, ticket string, expired bool) bool {
	if i := slices.Index(s.exclusiveWaiting, ticket); i >= 0 {
		s.exclusiveWaiting = slices.Delete(s.exclusiveWaiting, i, i+1)
		delete(s.waiting, ticket)
		s.grantSlots(now)
		return true
	}
	remove := s.queue.Remove
	if expired {
		remove = func(id string) bool { return s.queue.Expire(now, id) }
	}
	if !remove(ticket) {
		return false
	}
	delete(s.waiting, ticket)
	return true
}

// acquire waits for one of the target's slots in the fair queue of its workspaces, or for all of them if alone is set.
func (g *Gatekeeper) acquire(
	ctx context.Context, target registrar.Announcement, head forwarder.Head, alone bool,
) error {
	g.mu.Lock()
	state := g.stateOf(target)
	now := time.Now()
	if head.Nested {
		state.reserver = state.reserver.WithCall(now, state.expectedDuration(head))
	}
	err := checkVerdict(g.targetVerdict(now, target.Name, state), head)
	var until time.Time
	if err == nil {
		until, err = g.admitWaiter(now, state, head)
	}
	if err == nil {
		err = state.checkLimit(now, head)
	}
	if err != nil {
		g.mu.Unlock()
		return err
	}
	ticket, granted := state.enqueue(now, until, head, alone)
	g.mu.Unlock()
	if g.awaitSlot(ctx, state, until, ticket, granted) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state.regulator = state.regulator.WithReturn()
	return refuser.Refuse(refuser.CapacityShort, "no slot of the target came free in time")
}

// awaitSlot waits at most until the time until for the request with the ticket to be granted a slot, and reports whether it was.
func (g *Gatekeeper) awaitSlot(ctx context.Context, state *targetState, until time.Time, ticket string, granted <-chan bool) bool {
	select {
	case ok := <-granted:
		return ok
	default:
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	expired := false
	select {
	case ok := <-granted:
		return ok
	case <-timer.C:
		expired = true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !state.dequeue(time.Now(), ticket, expired) && <-granted
}

func (g *Gatekeeper) release(name string, alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.states[name]
	state.inFlight--
	state.exclusive = state.exclusive && !alone
	state.grantSlots(time.Now())
}
