package acceptor

import (
	"strconv"
	"time"

	"samphiremount.example/core/admitter"
	"samphiremount.example/core/pacer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// request returns what the order depends on for the request of head. The caller holds the lock.
func (c *chooser) request(head forwarder.Head) admitter.Request {
	request := admitter.Request{
		Rank: int(head.Rank), Nested: head.Nested, Retried: head.Retried, Objective: head.Objective,
		Work: c.meanDurations[head.Objective], Deadline: head.Deadline,
	}
	if head.Objective > 0 {
		request.LatestStart = head.ObjectiveDeadline.Add(-request.Work)
	}
	return request
}

// recordRoom records what the end of an attempt shows about the room at its target. The caller holds the lock.
func (c *chooser) recordRoom(now time.Time, placement tracker.Placement, head forwarder.Head, answer forwarder.Answer, err error) {
	if c.rooms == nil {
		return
	}
	region := admitter.Region{Service: placement.Target.Service, Region: placement.Node.Region}
	request := c.request(head)
	if err != nil {
		refusal := refuser.From(err)
		short := refusal.Kind == refuser.CapacityShort || refusal.Kind == refuser.TargetLimited
		if short && !refusal.RetryAt.IsZero() {
			c.rooms.Record(now, region, placement.Target.Name, request, refusal.RetryAt.Sub(now))
		}
		return
	}
	if busy, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderBusy)); err == nil {
		slots := max(placement.Target.Slots, 1)
		// The slot of this answer is about to become free.
		waiting := max(busy-1-slots, 0)
		c.rooms.Record(now, region, placement.Target.Name, request, time.Duration(waiting)*request.Work/time.Duration(slots))
	}
}

// roomsFor returns what is known of the room for the request of head in the regions that it may go to: not in a remote region
// while attempts there find no slot, or if heavy is set and the local region has targets.
func (c *chooser) roomsFor(now time.Time, view *viewer.View, head forwarder.Head, heavy bool) (admitter.Request, []admitter.Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.request(head)
	if !c.rooms.IsShort(now, head.Service) {
		return request, nil
	}
	targets := make(map[string]int)
	for _, placement := range placeRule(view, head).Filter(view.Directory.Placements(head.Service)) {
		if !placement.Target.Leaving {
			targets[placement.Node.Region]++
		}
	}
	var rooms []admitter.Room
	remote := c.throttles[head.Service].Open()
	for region, count := range targets {
		if region != c.locality.Region && targets[c.locality.Region] > 0 && (heavy || !remote) {
			continue
		}
		rooms = append(rooms, c.rooms.Look(now, admitter.Region{Service: head.Service, Region: region}, count, request))
	}
	return request, rooms
}

// checkRoom refuses a request that no target can serve before its deadline, as far as this entry knows.
func (a *Acceptor) checkRoom(view *viewer.View, head forwarder.Head) error {
	if a.Admission == nil || head.Nested {
		// A call waits as long as it can: the run that made it fails otherwise.
		return nil
	}
	now := time.Now()
	request, rooms := a.chooser.roomsFor(now, view, head, a.newPlan(head).Heavy())
	reject, ok := admitter.JudgeRooms(now, request, rooms...).(admitter.Reject)
	if !ok {
		return nil
	}
	var age time.Duration
	for _, room := range rooms {
		age = max(age, room.Age)
	}
	counts := a.Admission
	counts.Add("rejected_late", 1)
	a.AdmitLog.Info("request rejected", "request", head.RequestID, "workspace", head.Workspace, "service", head.Service,
		"reason", "late", "rank", request.Rank, "inner", request.Nested, "remaining", request.Deadline.Sub(now), "work", request.Work,
		"room", reject.Wait, "age", age)
	return &refuser.Refusal{
		Kind: refuser.CapacityShort, Outcome: refuser.NotRun{}, Detail: "no target has room before the deadline", RetryAt: reject.RoomAt,
	}
}

// retryAt returns the time after which the caller of a refused request should retry. head is that of the request, or the zero
// value if it was refused before it had one.
func (a *Acceptor) retryAt(refusal *refuser.Refusal, head forwarder.Head) time.Time {
	if a.Admission == nil || head.Deadline.IsZero() || refusal.Outcome != (refuser.NotRun{}) {
		return a.chooser.retryAt(refusal, head.Objective)
	}
	switch refusal.Kind {
	case refuser.CapacityShort, refuser.CallShort, refuser.TargetLimited, refuser.TargetDeclined, refuser.TargetSuspect:
		counts := a.Admission
		counts.Add("returns_spread", 1)
		return a.chooser.spreadReturn(refusal, head)
	default:
		return a.chooser.retryAt(refusal, head.Objective)
	}
}

// spreadReturn returns when the caller of a request that found no room should retry. Without an expectation of its own, room is
// expected when it would be without admission.
func (c *chooser) spreadReturn(refusal *refuser.Refusal, head forwarder.Head) time.Time {
	roomAt := refusal.RetryAt
	if roomAt.IsZero() {
		roomAt = c.retryAt(refusal, head.Objective)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return pacer.Spread(time.Now(), c.random, roomAt, c.request(head).LatestStart, head.Deadline)
}

// sparesBudget reports whether a request that a target has declined is refused rather than sent again at the cost of the shared
// retry budget: it can no longer be on time, and its caller may send it again.
func (a *Acceptor) sparesBudget(f *forwardedRequest, event retrier.Event) bool {
	refused, ok := event.(retrier.Refused)
	if a.Admission == nil || !ok || refused.Refusal.Kind != refuser.TargetDeclined || f.mayHaveRun || f.head.Nested ||
		a.Retrier.Allows(time.Now(), event, f.attempt) {
		return false
	}
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	return !a.chooser.request(f.head).OnTime(time.Now())
}

// setRetried marks the request for its gate if it is first in line for the attempt: a failed attempt was a trial, or used up
// time of a request that would be served elsewhere by now.
func (a *Acceptor) setRetried(f *forwardedRequest) {
	f.head.Retried = a.Admission != nil && f.head.Repeatable && f.attempt.Reached > 0
}

// barLimited keeps requests away from target, whose gate has refused one since the target takes no more at the moment: with
// admission for MaxBar at most, since targets that shed load recover before the time at which they are expected to.
func (c *chooser) barLimited(now time.Time, target tracker.Target, retryAt time.Time) {
	if c.rooms != nil {
		c.reports[target.Name] = router.Report{InFlight: max(target.Slots, 1), At: now}
		if latest := now.Add(admitter.MaxBar); retryAt.After(latest) {
			retryAt = latest
		}
	}
	c.limitedUntil[target.Name] = retryAt
}
