package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/queuer"
)

// simulateBurst offers a target with 5 slots and 200 ms for a request 1.6 times what it can serve, for 10 s. Half of the requests
// are of rank 1. It returns the parts of the requests of rank 1 and 2 that were answered within their objective. With
// ordered unset the queue knows neither objectives nor ranks.
func simulateBurst(ordered bool) (urgent, other float64) {
	const slots, work, objective, deadline = 5, 200 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond
	const rate, span, step = 40.0, 10 * time.Second, time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	q := queuer.New(40)
	began := make(map[string]time.Time)
	ranks := make(map[string]int)
	var sent, inTime [3]int
	var ends []time.Time
	for now := epoch; now.Before(epoch.Add(span + deadline)); now = now.Add(step) {
		if now.Before(epoch.Add(span)) && random.Float64() < rate*step.Seconds() {
			id, rank := fmt.Sprint(len(began)), 1+random.IntN(2)
			began[id], ranks[id] = now, rank
			sent[rank]++
			waiter := queuer.Waiter{ID: id, Workspace: "w", Weight: 1, Deadline: now.Add(deadline - work)}
			if ordered {
				waiter.Rank, waiter.StartBy = rank, now.Add(objective-work)
			}
			q.Push(now, waiter)
		}
		for len(ends) > 0 && !now.Before(ends[0]) {
			ends = ends[1:]
		}
		for len(ends) < slots {
			next, _, ok := q.Pop(now, false)
			if !ok {
				break
			}
			end := now.Add(work)
			ends = append(ends, end)
			if end.Sub(began[next.ID]) <= objective {
				inTime[ranks[next.ID]]++
			}
		}
	}
	return float64(inTime[1]) / float64(sent[1]), float64(inTime[2]) / float64(sent[2])
}

// TestBurstIsServedInTimeWhereItCan replays the load pattern that the order of the queue answers. The target can serve
// all requests of rank 1 and a quarter of the others.
func TestBurstIsServedInTimeWhereItCan(t *testing.T) {
	urgentBefore, otherBefore := simulateBurst(false)
	urgent, other := simulateBurst(true)
	t.Logf("in time: %.2f and %.2f first in, first out; %.2f and %.2f in order", urgentBefore, otherBefore, urgent, other)
	assert.Assert(t, urgent > 0.95)
	assert.Assert(t, urgent+other > 2*(urgentBefore+otherBefore))
}
