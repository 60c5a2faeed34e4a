// Package queuer orders the requests that wait for a target. Those whose answers can still come within their objective
// go first, then those of the more urgent rank. Among the rest, workspaces share the slots by start-time fair queueing
// (Goyal, Vin and Cheng, 1996): each request gets a start tag of virtual time, one request costs 1/weight, and the
// smallest tag goes first.
//
// The load pattern that it answers: for some seconds more requests come than can be served. First in, first out would
// then serve all of them late.
package queuer

import (
	"maps"
	"time"
)

// Waiter is a request that waits for a slot. It leaves the queue at Deadline. From Late on its answer would miss its
// objective; the zero time states none. Rank 1 is the most urgent. Inner ones are calls of requests that already run.
type Waiter struct {
	ID        string
	Workspace string
	Weight    int
	Rank      int
	Nested    bool
	StartBy   time.Time
	Deadline  time.Time
}

func (w Waiter) missesObjective(now time.Time) bool {
	return !w.StartBy.IsZero() && !now.Before(w.StartBy)
}

type item struct {
	waiter   Waiter
	startTag float64
	sequence uint64
}

// Queuer is the queue before one target. It is not safe for concurrent use.
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

// Push adds waiter at now. If the queue is over its limit then, it drops the waiter that would go last and returns its
// ID. Among equals that is the newest of the workspace which asks for most beyond its share, and may be the new one.
func (q *Queuer) Push(now time.Time, waiter Waiter) (dropped string) {
	start := max(q.virtualTime, q.finishTags[waiter.Workspace])
	q.finishTags[waiter.Workspace] = start + cost(waiter)
	q.sequence++
	q.waiting = append(q.waiting, item{waiter, start, q.sequence})
	if len(q.waiting) <= q.limit {
		return ""
	}
	last := 0
	for i, e := range q.waiting {
		if q.waiting[last].before(e, now) {
			last = i
		}
	}
	gone := q.removeAt(last)
	q.refund(gone)
	return gone.waiter.ID
}

// Pop removes the waiter that gets the next slot at now, and returns the IDs of those that expired before. If that slot is
// kept for inner ones, the others wait on.
func (q *Queuer) Pop(now time.Time, kept bool) (next Waiter, expired []string, ok bool) {
	for i := 0; i < len(q.waiting); {
		if now.Before(q.waiting[i].waiter.Deadline) {
			i++
			continue
		}
		gone := q.removeAt(i)
		q.refund(gone)
		expired = append(expired, gone.waiter.ID)
	}
	first := -1
	for i, e := range q.waiting {
		if kept && !e.waiter.Nested {
			continue
		}
		if first < 0 || e.before(q.waiting[first], now) {
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

// Remove takes the waiter called id out, if it still waits.
func (q *Queuer) Remove(id string) bool {
	for i, e := range q.waiting {
		if e.waiter.ID == id {
			q.refund(q.removeAt(i))
			return true
		}
	}
	return false
}

func (e item) before(other item, now time.Time) bool {
	if late := e.waiter.missesObjective(now); late != other.waiter.missesObjective(now) {
		return !late
	}
	if e.waiter.Rank != other.waiter.Rank {
		return e.waiter.Rank < other.waiter.Rank
	}
	if e.startTag != other.startTag {
		return e.startTag < other.startTag
	}
	return e.sequence < other.sequence
}

func cost(waiter Waiter) float64 {
	return 1 / float64(max(waiter.Weight, 1))
}

func (q *Queuer) removeAt(i int) item {
	taken := q.waiting[i]
	q.waiting[i] = q.waiting[len(q.waiting)-1]
	q.waiting = q.waiting[:len(q.waiting)-1]
	return taken
}

// refund moves the later requests of a workspace forward when one of its requests goes without a slot.
func (q *Queuer) refund(gone item) {
	workspace := gone.waiter.Workspace
	q.finishTags[workspace] -= cost(gone.waiter)
	for i := range q.waiting {
		if q.waiting[i].waiter.Workspace == workspace && q.waiting[i].startTag > gone.startTag {
			q.waiting[i].startTag = max(q.waiting[i].startTag-cost(gone.waiter), q.virtualTime)
		}
	}
}

// dropIdle drops workspaces whose share is used up to the present, so that memory follows the active ones.
func (q *Queuer) dropIdle() {
	maps.DeleteFunc(q.finishTags, func(_ string, finish float64) bool { return finish <= q.virtualTime })
}
