package allowances_test

import (
	"math/rand/v2"
	"time"
)

// partitionRegions drops all messages between the regions during the middle third of the run.
func (r *run) partitionRegions() {
	time.Sleep(r.duration / 3)
	r.fleet.partitioned.Store(true)
	time.Sleep(r.duration / 3)
	r.fleet.partitioned.Store(false)
}

// killLender stops the lender of the first data centre, and the central counter, for 3 s after a third of the run.
func (r *run) killLender() {
	time.Sleep(r.duration / 3)
	r.fleet.killLender(0)
	r.counter.kill()
	time.Sleep(3 * time.Second)
	r.fleet.startLender(0)
	r.counter.restart()
}

// replaceNodes replaces one node each second, in turn.
func (r *run) replaceNodes() {
	for i := range int(r.duration / time.Second) {
		time.Sleep(time.Second)
		r.replaceNode(i % nodes)
	}
}

// allFaults partitions the regions, loses replies, restarts lenders and replaces nodes, in random order.
func (r *run) allFaults() {
	random := rand.New(rand.NewPCG(*seed, 2))
	sleepUpTo := func(maxMilliseconds int) { time.Sleep(time.Duration(random.IntN(maxMilliseconds)) * time.Millisecond) }
	for end := time.Now().Add(r.duration); time.Now().Before(end); sleepUpTo(2000) {
		switch random.IntN(4) {
		case 0:
			r.fleet.partitioned.Store(true)
			sleepUpTo(1000)
			r.fleet.partitioned.Store(false)
		case 1:
			r.replaceNode(random.IntN(nodes))
		case 2:
			r.fleet.dropReplies.Store(true)
			sleepUpTo(300)
			r.fleet.dropReplies.Store(false)
		case 3:
			centre := random.IntN(centres)
			r.fleet.killLender(centre)
			sleepUpTo(200)
			r.fleet.startLender(centre)
		}
	}
}

// replaceNode puts a new limiter in the place of a node's, as if the node had restarted without its state.
func (r *run) replaceNode(node int) {
	started := r.newLimiter(node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiters[node] = started
}
