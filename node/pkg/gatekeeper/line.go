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
	"samphiremount.example/core/reserver"
	"samphiremount.example/node/pkg/forwarder"
)

const (
	// waitersPerSlot bounds the queue before a target.
	waitersPerSlot = 8
	// patience bounds how long a request waits for a slot before it is refused as not run.
	patience = time.Second
	// waitPart is the part of the time to a request's objective, and after that to its deadline, for which it waits at
	// one target. What is left is enough to be served by another.
	waitPart = 0.4
	// typicalPart is the part of its objective that a request is taken to need before any of its kind was served: operators
	// set objectives to about three times the usual.
	typicalPart = 1.0 / 3
	// maxEstimates bounds the kinds of requests that are told apart.
	maxEstimates = 64
)

// waitUntil returns when a request that begins to wait at now gives this target up.
func waitUntil(now time.Time, head forwarder.Head) time.Time {
	end := head.Deadline
	if head.ObjectiveDeadline.After(now) && head.ObjectiveDeadline.Before(end) {
		end = head.ObjectiveDeadline
	}
	wait := min(time.Duration(waitPart*float64(end.Sub(now))), patience)
	return now.Add(max(wait, 0))
}

// room refuses a request that cannot be served here in time, or that goes elsewhere rather than wait.
func (l *line) room(now time.Time, head forwarder.Head) error {
	full := l.inFlight >= l.open(now, head.Nested) || !head.Nested && l.queue.Len() > 0 || len(l.alone) > 0
	var detail string
	switch {
	case full && head.Immediate:
		detail = "no slot of the target is free"
	case now.Add(l.estimates[head.MaxExpectedLatency].Mean()).After(head.Deadline):
		detail = "too little time is left"
	default:
		return nil
	}
	return &refuser.Refusal{
		Kind: refuser.CapacityShort, Outcome: refuser.NotRun{}, Detail: detail, Load: l.inFlight + l.queue.Len(),
	}
}

// open returns how many slots a request may find in use and still get one.
func (l *line) open(now time.Time, inner bool) int {
	if inner {
		return l.slots
	}
	return l.reserver.Unreserved(now, l.slots)
}

// start tells the suspector of a request that goes to the target.
func (l *line) start(now time.Time, head forwarder.Head) {
	estimate := l.estimates[head.MaxExpectedLatency]
	l.suspector.Start(now, head.ID, breaker.Expectation{
		Mean: l.typical(head), SlowAt: now.Add(max(head.MaxExpectedLatency/2, estimate.High())),
		OverdueAt: now.Add(max(head.MaxExpectedLatency, estimate.High())),
	})
}

// typical returns how long the request is expected to take.
func (l *line) typical(head forwarder.Head) time.Duration {
	return cmp.Or(l.estimates[head.MaxExpectedLatency].Mean(), time.Duration(typicalPart*float64(head.MaxExpectedLatency)))
}

// late returns from when on a request that starts here would most likely miss its objective.
func (l *line) late(head forwarder.Head) time.Time {
	if head.MaxExpectedLatency == 0 {
		return time.Time{}
	}
	return head.ObjectiveDeadline.Add(-l.estimates[head.MaxExpectedLatency].Mean())
}

// observe takes how long a request with the objective took that was served here. Requests of one kind have one objective.
func (l *line) observe(objective, span time.Duration) {
	if len(l.estimates) >= maxEstimates {
		clear(l.estimates)
	}
	l.estimates[objective] = l.estimates[objective].With(span)
}

// checkVerdict refuses a request that the target should not get now by verdict, since it would most likely hang or fail
// there. Routes that do not say what a sound target takes are not judged.
func checkVerdict(verdict breaker.Verdict, head forwarder.Head) error {
	if head.AllowSuspect || head.MaxExpectedLatency == 0 {
		return nil
	}
	switch verdict := verdict.(type) {
	case breaker.Doubtful:
		if head.HealthyOnly {
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

// line returns the line before target. The caller holds the lock.
func (g *Gatekeeper) line(target registrar.Announcement) *line {
	l, ok := g.lines[target.Name]
	if !ok || l.slots != target.Slots && l.inFlight == 0 && len(l.waiting) == 0 {
		l = newLine(target.Slots)
		g.lines[target.Name] = l
	}
	return l
}

// note passes evidence on a target to its line.
func (g *Gatekeeper) note(name string, evidence func(now time.Time, l *line)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.lines[name]; ok {
		now := time.Now()
		evidence(now, l)
		g.judgeTarget(now, name, l)
	}
}

// judgeTarget returns the verdict on a target, and logs it with what it rests on if it has changed. The caller holds the lock.
func (g *Gatekeeper) judgeTarget(now time.Time, target string, l *line) breaker.Verdict {
	verdict := l.suspector.Verdict(now)
	name := breaker.Name(verdict)
	if name == l.verdict {
		return verdict
	}
	evidence := l.suspector.Evidence()
	g.log.Info("target judged", "target", target, "verdict", name, "before", l.verdict, "failures", evidence.Failures,
		"missing", evidence.MissedEnds, "running", evidence.Running)
	l.verdict = name
	return verdict
}

// line is the slots of one target and the queue before them. Verdict is the name of the verdict that was logged last.
type line struct {
	slots     int
	inFlight  int
	suspector *breaker.Breaker
	verdict   string
	estimates map[time.Duration]estimator.Estimate
	reserver  reserver.Reserver
	queue     *queuer.Queuer
	waiting   map[string]chan bool
	tickets   uint64
	// alone holds the tickets of requests that wait for all slots, exclusive is set while one has them.
	alone     []string
	exclusive bool
}

func newLine(slots int) *line {
	return &line{
		slots: slots, suspector: breaker.New(), verdict: breaker.Name(breaker.Healthy{}),
		estimates: make(map[time.Duration]estimator.Estimate), queue: queuer.New(waitersPerSlot * slots),
		waiting: make(map[string]chan bool),
	}
}

// join adds a request to the queue. The channel delivers whether it got a slot.
func (l *line) join(now time.Time, head forwarder.Head, alone bool) (ticket string, granted chan bool) {
	l.tickets++
	ticket, granted = strconv.FormatUint(l.tickets, 36), make(chan bool, 1)
	l.waiting[ticket] = granted
	if alone {
		l.alone = append(l.alone, ticket)
		l.fill(now)
		return ticket, granted
	}
	deadline := waitUntil(now, head)
	dropped := l.queue.Push(now, queuer.Waiter{
		ID: ticket, Workspace: head.Workspace, Weight: head.Weight, Deadline: deadline, Rank: int(head.Rank), StartBy: l.late(head),
		Nested: head.Nested,
	})
	if dropped != "" {
		l.tell(dropped, false)
	}
	l.fill(now)
	return ticket, granted
}

// fill hands the free slots to those whose turn it is. A request that waits for all slots lets no other start.
func (l *line) fill(now time.Time) {
	if l.exclusive {
		return
	}
	if len(l.alone) > 0 {
		if l.inFlight == 0 {
			l.inFlight, l.exclusive = 1, true
			ticket := l.alone[0]
			l.alone = l.alone[1:]
			l.tell(ticket, true)
		}
		return
	}
	for l.inFlight < l.slots {
		next, expired, ok := l.queue.Pop(now, l.inFlight >= l.open(now, false))
		for _, ticket := range expired {
			l.tell(ticket, false)
		}
		if !ok {
			return
		}
		l.inFlight++
		l.tell(next.ID, true)
	}
}

func (l *line) tell(ticket string, granted bool) {
	l.waiting[ticket] <- granted
	delete(l.waiting, ticket)
}

// leave takes a ticket out that still waits, and reports whether it did.
func (l *line) leave(now time.Time, ticket string) bool {
	if i := slices.Index(l.alone, ticket); i >= 0 {
		l.alone = slices.Delete(l.alone, i, i+1)
		delete(l.waiting, ticket)
		l.fill(now)
		return true
	}
	if !l.queue.Remove(ticket) {
		return false
	}
	delete(l.waiting, ticket)
	return true
}

// acquire waits for one of the target's slots in the fair queue of its workspaces, or for all of them.
func (g *Gatekeeper) acquire(
	ctx context.Context, target registrar.Announcement, head forwarder.Head, alone bool,
) error {
	g.mu.Lock()
	l := g.line(target)
	now := time.Now()
	if head.Nested {
		l.reserver = l.reserver.WithCall(now, l.typical(head))
	}
	err := checkVerdict(g.judgeTarget(now, target.Name, l), head)
	if err == nil {
		err = l.room(now, head)
	}
	if err != nil {
		g.mu.Unlock()
		return err
	}
	ticket, granted := l.join(now, head, alone)
	g.mu.Unlock()
	select {
	case ok := <-granted:
		return verdict(ok)
	default:
	}
	timer := time.NewTimer(time.Until(waitUntil(time.Now(), head)))
	defer timer.Stop()
	select {
	case ok := <-granted:
		return verdict(ok)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.leave(time.Now(), ticket) {
		return verdict(false)
	}
	return verdict(<-granted)
}

func verdict(granted bool) error {
	if granted {
		return nil
	}
	return refuser.Refuse(refuser.CapacityShort, "no slot of the target came free in time")
}

func (g *Gatekeeper) release(name string, alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[name]
	l.inFlight--
	l.exclusive = l.exclusive && !alone
	l.fill(time.Now())
}
