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
)

// Waiter is a request that waits for a slot. It leaves the queue at Deadline. If it is not started before LatestStart, its
// answer would miss its objective; a zero LatestStart means that there is no objective. Rank 1 is the most urgent. Nested
// marks a call that a request sends while it runs on another target.
type Waiter struct {
	ID          string
	Workspace   string
	Weight      int
	Rank        int
	Nested      bool
	LatestStart time.Time
	Deadline    time.Time
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
}

// New returns an empty queue that holds at most limit waiters.
func New(limit int) *Queuer {
	return &Queuer{limit: limit, finishTags: make(map[string]float64)}
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
	last := 0
	for i, it := range q.waiting {
		if q.waiting[last].before(it, now) {
			last = i
		}
	}
	removed := q.removeAt(last)
	q.refund(removed)
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
		expired = append(expired, removed.waiter.ID)
	}
	first := -1
	for i, it := range q.waiting {
		if nestedOnly && !it.waiter.Nested {
			continue
		}
		if first < 0 || it.before(q.waiting[first], now) {
			first = i
		}
	}
	if first < 0 {
		return Waiter{}, expired, false
	}
	chosen := q.removeAt(first)
	q.virtualTime = max(q.virtualTime, chosen.startTag)
	q.dropIdle()
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
