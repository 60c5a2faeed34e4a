package acceptor

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/pacer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/regulator"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
)

const (
	// largeAnswerBytes is the mean size of an answer above which sending it between regions costs more than waiting.
	largeAnswerBytes = 32 << 10
	// sizeWeight is the weight of a new answer in the mean size.
	sizeWeight = 1.0 / 8
	// maxObjectives bounds the number of objectives for which durations and sizes are kept.
	maxObjectives = 256
)

// recordAttempt records what the end of an attempt shows about the load of its target and the path to it.
func (c *chooser) recordAttempt(placement tracker.Placement, head forwarder.Head, answer forwarder.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, now := placement.Target, time.Now()
	c.updateThrottle(placement, err)
	c.recordRoom(now, placement, head, answer, err)
	if err != nil {
		switch refuser.From(err).Kind {
		case refuser.CapacityShort:
			c.reports[target.Name] = router.Report{InFlight: max(target.Slots, refuser.From(err).Load), At: now}
		case refuser.TargetSuspect:
			c.suspectUntil[target.Name] = now.Add(suspectBackoff)
		case refuser.TargetLimited:
			c.barLimited(now, target, refuser.From(err).RetryAt)
		case refuser.NodeUnreachable:
			c.recordPathFailure(now, placement.Node.Name, err)
			c.watcher.RecordUnreachable(target.Name, target.Service)
		default:
		}
		return
	}
	c.recordAnswer(head.Objective, answer)
	c.recordLimit(target.Name, answer)
	if answer.Header.Get(forwarder.HeaderLeaving) != "" {
		c.leaving[target.Name] = departure{startedAt: target.StartedAt, until: now.Add(departureLifetime)}
	}
	if busy, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderBusy)); err == nil {
		// The slot of this answer is about to become free.
		c.reports[target.Name] = router.Report{InFlight: max(busy-1, 0), At: now}
	}
}

// recordLimit records the limit that the target called name has stated in answer, or that it has stated none.
func (c *chooser) recordLimit(name string, answer forwarder.Answer) {
	rate, err := strconv.ParseFloat(answer.Header.Get(forwarder.HeaderLimit), 64)
	if err != nil {
		delete(c.limits, name)
		return
	}
	c.limits[name] = regulator.Limit{Rate: rate, Named: true}
}

// limit returns the limit that the target called name stated in its last answer to this node.
func (c *chooser) limit(name string) regulator.Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits[name]
}

// errSilent is the reason for avoiding the path to a gate that gives no sign of life.
var errSilent = errors.New("the gate gives no sign of life")

// recordSilence records that nothing comes from the gate of placement, neither of a request nor over another connection.
func (c *chooser) recordSilence(placement tracker.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPathFailure(time.Now(), placement.Node.Name, errSilent)
	c.watcher.RecordUnreachable(placement.Target.Name, placement.Target.Service)
}

// recordAnswer records what an answer shows about all requests of its kind: their durations and the size of their
// answers. Requests of one kind have one objective, so the objective identifies the kind.
func (c *chooser) recordAnswer(objective time.Duration, answer forwarder.Answer) {
	if len(c.highDurations) >= maxObjectives || len(c.meanSizes) >= maxObjectives {
		clear(c.highDurations)
		clear(c.meanDurations)
		clear(c.meanSizes)
	}
	if high, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderHigh)); err == nil {
		c.highDurations[objective] = time.Duration(high) * time.Millisecond
	}
	if mean, err := strconv.Atoi(answer.Header.Get(forwarder.HeaderMean)); err == nil {
		c.meanDurations[objective] = time.Duration(mean) * time.Millisecond
	}
	if size, err := strconv.ParseFloat(answer.Header.Get("Content-Length"), 64); err == nil {
		c.meanSizes[objective] += sizeWeight * (size - c.meanSizes[objective])
	}
}

// meanDuration returns how long requests with the objective take on average, or 0 if that is not known.
func (c *chooser) meanDuration(objective time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meanDurations[objective]
}

// retryAt returns the time after which the caller of a refused request should retry.
func (c *chooser) retryAt(refusal *refuser.Refusal, objective time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pacer.RetryAt(time.Now(), c.random, refusal, c.meanDurations[objective])
}

// largeAnswers reports whether answers to requests with the objective are too large to be sent between regions only to
// balance load.
func (c *chooser) largeAnswers(objective time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meanSizes[objective] > largeAnswerBytes
}

// highDuration returns the time within which nearly all requests with the objective end, or 0 if that is not known.
func (c *chooser) highDuration(objective time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highDurations[objective]
}

// updateThrottle records whether an attempt in another region found a free slot there.
func (c *chooser) updateThrottle(placement tracker.Placement, err error) {
	if !c.isRemote(placement) {
		return
	}
	slotFound := true
	if err != nil {
		switch refuser.From(err).Kind {
		case refuser.CapacityShort, refuser.TargetSuspect, refuser.TargetDeclined:
			slotFound = false
		case refuser.TargetLimited:
			// With admission, gates refuse so for targets that shed load.
			slotFound = c.rooms == nil
		default:
		}
	}
	service := placement.Target.Service
	c.throttles[service] = c.throttles[service].WithResult(slotFound)
}
