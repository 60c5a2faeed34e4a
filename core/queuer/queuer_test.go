package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/queuer"
)

var epoch = time.Unix(0, 0)

// TestBacklogIsSharedByWeight checks the fairness bound of start-time fair queueing while all workspaces have a
// backlog: the weighted service of any two workspaces differs by at most one request of each.
func TestBacklogIsSharedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "weights")
		q := queuer.New(1000)
		for i, weight := range weights {
			for n := range 100 {
				q.Push(epoch, queuer.Waiter{ID: fmt.Sprint(i, "/", n), Workspace: fmt.Sprint(i), Weight: weight, Deadline: epoch.Add(1)})
			}
		}
		served := make(map[string]int)
		for range 100 {
			next, _, ok := q.Pop(epoch, false)
			assert.Assert(t, ok)
			served[next.Workspace]++
		}
		for i, weight := range weights {
			for j, other := range weights {
				lead := float64(served[fmt.Sprint(i)])/float64(weight) - float64(served[fmt.Sprint(j)])/float64(other)
				assert.Assert(t, lead <= 1/float64(weight)+1/float64(other)+1e-9, "workspace %d leads %d by %v", i, j, lead)
			}
		}
	})
}

// TestNoWaiterIsLost compares the contents of the queue with a plain set.
func TestNoWaiterIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, next := queuer.New(8), epoch, 0
		waiting := make(map[string]time.Time)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				waiter := queuer.Waiter{
					ID: fmt.Sprint(next), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Weight: 1, Deadline: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "wait"))),
				}
				waiting[waiter.ID] = waiter.Deadline
				if dropped := q.Push(now, waiter); dropped != "" {
					_, ok := waiting[dropped]
					assert.Assert(t, ok)
					delete(waiting, dropped)
				}
			},
			"pop": func(t *rapid.T) {
				chosen, expired, ok := q.Pop(now, false)
				for _, id := range expired {
					assert.Assert(t, !now.Before(waiting[id]))
					delete(waiting, id)
				}
				assert.Equal(t, ok, len(waiting) > 0)
				if ok {
					assert.Assert(t, now.Before(waiting[chosen.ID]))
					delete(waiting, chosen.ID)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id"))
				_, ok := waiting[id]
				assert.Equal(t, q.Remove(id), ok)
				delete(waiting, id)
			},
			"time": func(*rapid.T) { now = now.Add(3) },
			"":     func(t *rapid.T) { assert.Equal(t, q.Len(), len(waiting)) },
		})
	})
}

// TestWorstServedWorkspace guards against one workspace that takes the slots of the others. Eight workspaces share a
// target with 5 slots that takes 100 ms for a request; one of them sends eight times as many requests as any other.
func TestWorstServedWorkspace(t *testing.T) {
	refused := simulate(0)
	queued := simulate(40)
	t.Logf("worst-served share: refused at full slots %.3f, queued %.3f", refused, queued)
	assert.Assert(t, queued > 0.95, "%v", queued)
	assert.Assert(t, refused < 0.8, "%v", refused)
}

// simulate returns the smallest fraction of requests served of any workspace except the first, which sends the most. With
// a limit of 0 a request that finds no free slot is refused, otherwise it is queued.
func simulate(limit int) float64 {
	const slots, duration, maxWait, span = 5, 100 * time.Millisecond, time.Second, 200 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	rates := []float64{48, 6, 6, 6, 6, 6, 6, 6}
	q := queuer.New(limit)
	var offered, served [8]int
	var endTimes []time.Time
	step := time.Millisecond
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(step) {
		for i, rate := range rates {
			if random.Float64() < rate*step.Seconds() {
				offered[i]++
				if limit == 0 && len(endTimes) < slots {
					served[i]++
					endTimes = append(endTimes, now.Add(duration))
				} else if limit > 0 {
					q.Push(now, queuer.Waiter{ID: fmt.Sprint(i, now), Workspace: fmt.Sprint(i), Weight: 1, Deadline: now.Add(maxWait)})
				}
			}
		}
		for len(endTimes) > 0 && !now.Before(endTimes[0]) {
			endTimes = endTimes[1:]
		}
		for len(endTimes) < slots {
			next, _, ok := q.Pop(now, false)
			if !ok {
				break
			}
			served[int(next.Workspace[0]-'0')]++
			endTimes = append(endTimes, now.Add(duration))
		}
	}
	worst := 1.0
	for i := 1; i < len(rates); i++ {
		worst = min(worst, float64(served[i])/float64(offered[i]))
	}
	return worst
}
