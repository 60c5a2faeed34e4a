package acceptor

import (
	"strconv"
	"time"

	"samphiremount.example/core/pacer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
)

const (
	// heavyBytes is the mean size of an answer from which on it costs more to carry it between regions than to wait.
	heavyBytes = 32 << 10
	sizeWeight = 1.0 / 8
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 256
)

// observe takes what an attempt's end tells of the target's load and of the way there.
func (c *chooser) observe(placement tracker.Placement, head forwarder.Head, answer forwarder.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, now := placement.Target, time.Now()
	c.prospect(placement, err)
	if err != nil {
		switch refuser.From(err).Kind {
		case refuser.CapacityShort:
			c.reports[target.Name] = router.Report{InFlight: max(target.Slots, refuser.From(err).Load), At: now}
		case refuser.TargetSuspect:
			c.suspects[target.Name] = now.Add(suspectPause)
		case refuser.NodeUnreachable:
			c.failPath(now, placement.Node.Name, err)
			c.watcher.RecordUnreachable(target.Name, target.Service)
		default:
		}
		return
	}
	c.learn(head.MaxExpectedLatency, answer)
	if busy, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderBusy)); err == nil {
		// The answer's own slot is about to be free again.
		c.reports[target.Name] = router.Report{InFlight: max(busy-1, 0), At: now}
	}
}

// learn takes what an answer tells of all requests of its kind, which have one objective.
func (c *chooser) learn(objective time.Duration, answer forwarder.Answer) {
	if len(c.highs) >= maxKinds || len(c.sizes) >= maxKinds {
		clear(c.highs)
		clear(c.means)
		clear(c.sizes)
	}
	if high, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderHigh)); err == nil {
		c.highs[objective] = time.Duration(high) * time.Millisecond
	}
	if mean, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderMean)); err == nil {
		c.means[objective] = time.Duration(mean) * time.Millisecond
	}
	if size, err := strconv.ParseFloat(answer.Header.Get("Content-Length"), 64); err == nil {
		c.sizes[objective] += sizeWeight * (size - c.sizes[objective])
	}
}

// mean returns how long requests with the objective take on average, or 0 if that is not known.
func (c *chooser) mean(objective time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.means[objective]
}

// again returns from when on the caller of a refused request should send it again.
func (c *chooser) again(refusal *refuser.Refusal, objective time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pacer.RetryAt(time.Now(), c.random, refusal, c.means[objective])
}

// heavy reports whether answers to requests with the objective are too large to cross regions for the sake of load.
func (c *chooser) heavy(objective time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sizes[objective] > heavyBytes
}

// high returns how long nearly all requests with the objective take at most, or 0 if that is not known.
func (c *chooser) high(objective time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highs[objective]
}

// prospect takes what a try in another region tells of the room there.
func (c *chooser) prospect(placement tracker.Placement, err error) {
	if !c.far(placement) {
		return
	}
	found := true
	if err != nil {
		switch refuser.From(err).Kind {
		case refuser.CapacityShort, refuser.TargetSuspect, refuser.TargetDeclined:
			found = false
		default:
		}
	}
	service := placement.Target.Service
	c.prospects[service] = c.prospects[service].WithResult(found)
}
