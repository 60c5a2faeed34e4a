package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/queuer"
)

// simulateBurst sends 1.6 times the requests that a target can serve for 10 s. The target has 5 slots and takes 200 ms
// for a request. Half of the requests are of rank 1, the others of rank 2. It returns the fractions of both ranks that
// were answered within their objective. If ordered is false, waiters have neither objective nor rank.
func simulateBurst(ordered bool) (urgent, other float64) {
	const slots, duration, objective, deadline = 5, 200 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond
	const rate, span, step = 40.0, 10 * time.Second, time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	q := queuer.New(40)
	arrivals := make(map[string]time.Time)
	ranks := make(map[string]int)
	var offered, inTime [3]int
	var endTimes []time.Time
	for now := epoch; now.Before(epoch.Add(span + deadline)); now = now.Add(step) {
		if now.Before(epoch.Add(span)) && random.Float64() < rate*step.Seconds() {
			id, rank := fmt.Sprint(len(arrivals)), 1+random.IntN(2)
			arrivals[id], ranks[id] = now, rank
			offered[rank]++
			waiter := queuer.Waiter{ID: id, Workspace: "w", Weight: 1, Deadline: now.Add(deadline - duration)}
			if ordered {
				waiter.Rank, waiter.LatestStart = rank, now.Add(objective-duration)
			}
			q.Push(now, waiter)
		}
		for len(endTimes) > 0 && !now.Before(endTimes[0]) {
			endTimes = endTimes[1:]
		}
		for len(endTimes) < slots {
			next, _, ok := q.Pop(now, false)
			if !ok {
				break
			}
			end := now.Add(duration)
			endTimes = append(endTimes, end)
			if end.Sub(arrivals[next.ID]) <= objective {
				inTime[ranks[next.ID]]++
			}
		}
	}
	return float64(inTime[1]) / float64(offered[1]), float64(inTime[2]) / float64(offered[2])
}

// TestBurstIsServedInTimeWhereItCan guards against a queue that serves all requests of a burst late. The target has
// capacity for all requests of rank 1 and a quarter of the others.
func TestBurstIsServedInTimeWhereItCan(t *testing.T) {
	urgentFIFO, otherFIFO := simulateBurst(false)
	urgent, other := simulateBurst(true)
	t.Logf("in time: %.2f and %.2f first in, first out; %.2f and %.2f by objective and rank", urgentFIFO, otherFIFO, urgent, other)
	assert.Assert(t, urgent > 0.95)
	assert.Assert(t, urgent+other > 2*(urgentFIFO+otherFIFO))
}
