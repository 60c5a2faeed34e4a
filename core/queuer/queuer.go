// Package queuer orders the requests that wait for a target. Requests that can still meet their objective go before
// those that cannot, and more urgent ranks before less urgent ones. Among equals, workspaces share the slots by
// start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a start tag in virtual time, a request costs
// 1/weight, and the smallest start tag goes first.
//
// It is made for overload that lasts some seconds, during which a first-in, first-out queue would serve all requests
// late.
package queuer

import (
	"maps"
	"time"

	"samphiremount.example/core/admitter"
)

// Waiter is a request that waits for a slot. It leaves the queue at Deadline. If it is not started before LatestStart, its
// answer would miss its objective; a zero LatestStart means that there is no objective. Rank 1 is the most urgent. Nested
// marks a call that a request sends while it runs on another target. Work, Objective and Retried count only in a queue with
// admission; see admitter.Request.
type Waiter struct {
	ID          string
	Workspace   string
	Weight      int
	Rank        int
	Nested      bool
	Retried     bool
	Work        time.Duration
	Objective   time.Duration
	LatestStart time.Time
	Deadline    time.Time
}

// request returns what the order of a queue with admission depends on.
func (w Waiter) request() admitter.Request {
	return admitter.Request{
		Rank: w.Rank, Nested: w.Nested, Retried: w.Retried, Objective: w.Objective, Work: w.Work, LatestStart: w.LatestStart,
		Deadline: w.Deadline,
	}
}

// missesObjective reports whether it is too late at now to meet the objective of the request.
func (w Waiter) missesObjective(now time.Time) bool {
	return !w.LatestStart.IsZero() && !now.Before(w.LatestStart)
}

// item is a waiter with its start tag and the order of its arrival.
type item struct {
	waiter   Waiter
	startTag float64
	sequence uint64
}

// Queuer is the queue of one target. It keeps the finish tag of the last request of each active workspace. It is not
// safe for concurrent use.
type Queuer struct {
	limit       int
	virtualTime float64
	finishTags  map[string]float64
	waiting     []item
	sequence    uint64
	// shares is nil in a queue without admission.
	shares *admitter.Shares
}

// New returns an empty queue that holds at most limit waiters.
func New(limit int) *Queuer {
	return &Queuer{limit: limit, finishTags: make(map[string]float64)}
}

// WithAdmission makes the queue use the order of package admitter, and returns it. It must be empty.
func (q *Queuer) WithAdmission() *Queuer {
	q.shares = admitter.NewShares()
	return q
}

// Len returns the number of waiters, expired ones included.
func (q *Queuer) Len() int { return len(q.waiting) }

// Push adds waiter at now. If this exceeds the limit, it drops the waiter that would go last, which may be the new one,
// and returns its ID. If several waiters are equal in objective and rank, the one that would go last is the newest of the
// workspace that exceeds its share the most.
func (q *Queuer) Push(now time.Time, waiter Waiter) (dropped string) {
	start := max(q.virtualTime, q.finishTags[waiter.Workspace])
	q.finishTags[waiter.Workspace] = start + cost(waiter)
	q.sequence++
	q.waiting = append(q.waiting, item{waiter, start, q.sequence})
	if len(q.waiting) <= q.limit {
		return ""
	}
	before, last := q.order(now), 0
	for i, it := range q.waiting {
		if before(q.waiting[last], it) {
			last = i
		}
	}
	removed := q.removeAt(last)
	q.refund(removed)
	q.record(now, removed.waiter, false)
	return removed.waiter.ID
}

// Pop removes the waiter that gets the next slot at now, and all waiters whose deadline has passed; it returns the IDs
// of those. If nestedOnly is set, the slot is reserved for nested calls, and other requests keep waiting.
func (q *Queuer) Pop(now time.Time, nestedOnly bool) (next Waiter, expired []string, ok bool) {
	for i := 0; i < len(q.waiting); {
		if now.Before(q.waiting[i].waiter.Deadline) {
			i++
			continue
		}
		removed := q.removeAt(i)
		q.refund(removed)
		q.record(now, removed.waiter, false)
		expired = append(expired, removed.waiter.ID)
	}
	before, first := q.order(now), -1
	for i, it := range q.waiting {
		if nestedOnly && !it.waiter.Nested {
			continue
		}
		if first < 0 || before(it, q.waiting[first]) {
			first = i
		}
	}
	if first < 0 {
		return Waiter{}, expired, false
	}
	chosen := q.removeAt(first)
	q.virtualTime = max(q.virtualTime, chosen.startTag)
	q.dropIdle()
	q.record(now, chosen.waiter, true)
	return chosen.waiter, expired, true
}

// Remove removes the waiter with the given ID and reports whether it was in the queue.
func (q *Queuer) Remove(id string) bool {
	for i, it := range q.waiting {
		if it.waiter.ID == id {
			q.refund(q.removeAt(i))
			return true
		}
	}
	return false
}

// Expire is Remove for a waiter that gave up at now.
func (q *Queuer) Expire(now time.Time, id string) bool {
	for _, it := range q.waiting {
		if it.waiter.ID == id {
			q.record(now, it.waiter, false)
		}
	}
	return q.Remove(id)
}

// Clear removes all waiters and returns their IDs. It is made for a target that frees no slots.
func (q *Queuer) Clear() (removed []string) {
	for _, it := range q.waiting {
		removed = append(removed, it.waiter.ID)
	}
	for _, id := range removed {
		q.Remove(id)
	}
	return removed
}

// before reports whether it gets a slot before other at now.
func (it item) before(other item, now time.Time) bool {
	if missed := it.waiter.missesObjective(now); missed != other.waiter.missesObjective(now) {
		return !missed
	}
	if it.waiter.Rank != other.waiter.Rank {
		return it.waiter.Rank < other.waiter.Rank
	}
	if it.startTag != other.startTag {
		return it.startTag < other.startTag
	}
	return it.sequence < other.sequence
}

// order returns the function that reports whether an item gets a slot before another one at now.
func (q *Queuer) order(now time.Time) func(a, b item) bool {
	if q.shares == nil {
		return func(a, b item) bool { return a.before(b, now) }
	}
	order := q.shares.Order(now)
	return func(a, b item) bool {
		if c := order.Compare(a.waiter.request(), b.waiter.request()); c != 0 {
			return c < 0
		}
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.sequence < b.sequence
	}
}

// record counts a waiter that got a slot or left without one.
func (q *Queuer) record(now time.Time, waiter Waiter, served bool) {
	if q.shares != nil {
		q.shares.Record(now, waiter.request(), served)
	}
}

// RecordRejection counts a request that was rejected before it entered a queue with admission.
func (q *Queuer) RecordRejection(now time.Time, waiter Waiter) { q.record(now, waiter, false) }

// Ahead returns the number of waiters that would get a slot before waiter at now, and the work that they need. It is made
// for a queue with admission.
func (q *Queuer) Ahead(now time.Time, waiter Waiter) (count int, work time.Duration) {
	before := q.order(now)
	added := item{waiter, max(q.virtualTime, q.finishTags[waiter.Workspace]), q.sequence + 1}
	for _, it := range q.waiting {
		if before(it, added) {
			count++
			work += it.waiter.Work
		}
	}
	return count, work
}

// cost returns the virtual time that a request takes.
func cost(waiter Waiter) float64 {
	return 1 / float64(max(waiter.Weight, 1))
}

// removeAt removes the waiter at index i without keeping the order of the others.
func (q *Queuer) removeAt(i int) item {
	removed := q.waiting[i]
	q.waiting[i] = q.waiting[len(q.waiting)-1]
	q.waiting = q.waiting[:len(q.waiting)-1]
	return removed
}

// refund moves the later requests of a workspace forward after one of its requests was removed without getting a slot.
func (q *Queuer) refund(removed item) {
	workspace := removed.waiter.Workspace
	q.finishTags[workspace] -= cost(removed.waiter)
	for i := range q.waiting {
		if q.waiting[i].waiter.Workspace == workspace && q.waiting[i].startTag > removed.startTag {
			q.waiting[i].startTag = max(q.waiting[i].startTag-cost(removed.waiter), q.virtualTime)
		}
	}
}

// dropIdle removes the finish tags that virtual time has reached, so that only active workspaces take memory.
func (q *Queuer) dropIdle() {
	maps.DeleteFunc(q.finishTags, func(_ string, finish float64) bool { return finish <= q.virtualTime })
}
