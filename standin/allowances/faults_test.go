package allowances_test

import (
	"math/rand/v2"
	"time"
)

func (r *run) partitionRegions() {
	time.Sleep(r.duration / 3)
	r.fleet.partitioned.Store(true)
	time.Sleep(r.duration / 3)
	r.fleet.partitioned.Store(false)
}

func (r *run) killLender() {
	time.Sleep(r.duration / 3)
	r.fleet.killLender(0)
	r.counter.kill()
	time.Sleep(3 * time.Second)
	r.fleet.startLender(0)
	r.counter.restart()
}

func (r *run) replaceNodes() {
	for i := range int(r.duration / time.Second) {
		time.Sleep(time.Second)
		r.replaceNode(i % nodes)
	}
}

// allFaults cuts the regions, loses replies, restarts lenders and replaces nodes, in an order drawn at random.
func (r *run) allFaults() {
	random := rand.New(rand.NewPCG(*seed, 2))
	pause := func(most int) { time.Sleep(time.Duration(random.IntN(most)) * time.Millisecond) }
	for end := time.Now().Add(r.duration); time.Now().Before(end); pause(2000) {
		switch random.IntN(4) {
		case 0:
			r.fleet.partitioned.Store(true)
			pause(1000)
			r.fleet.partitioned.Store(false)
		case 1:
			r.replaceNode(random.IntN(nodes))
		case 2:
			r.fleet.dropReplies.Store(true)
			pause(300)
			r.fleet.dropReplies.Store(false)
		case 3:
			centre := random.IntN(centres)
			r.fleet.killLender(centre)
			pause(200)
			r.fleet.startLender(centre)
		}
	}
}

func (r *run) replaceNode(node int) {
	started := r.newLimiter(node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiters[node] = started
}
