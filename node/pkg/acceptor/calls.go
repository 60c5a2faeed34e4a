package acceptor

import (
	"time"

	"samphiremount.example/core/admitter"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/restrictor"
	"samphiremount.example/node/pkg/forwarder"
)

// maxCalled bounds the services whose calls are remembered.
const maxCalled = 64

// call is what the last call of a target of this VM to a service was like. timeout is that of its route: the time that the call had
// left is that of its run, which may have been about to end.
type call struct {
	rank      configurer.Rank
	objective time.Duration
	timeout   time.Duration
	regions   restrictor.Regions
}

// noteCall records a call of a target of this VM, and tells its gate.
func (a *Acceptor) noteCall(head forwarder.Head, timeout time.Duration) {
	if a.Admission == nil || !head.Nested {
		return
	}
	a.chooser.recordCall(head.Service, call{rank: head.Rank, objective: head.Objective, timeout: timeout, regions: head.Regions})
	if a.CallSeen != nil {
		a.CallSeen(head.Service)
	}
}

func (c *chooser) recordCall(service string, last call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.calls[service]; !known && len(c.calls) >= maxCalled {
		return
	}
	c.calls[service] = last
}

func (c *chooser) lastCall(service string) (call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.calls[service]
	return last, ok
}

// Callable reports whether a call of a target of this VM to service can be served before its deadline, as far as this node knows,
// and if not, when room is expected.
func (a *Acceptor) Callable(service string) (roomAt time.Time, ok bool) {
	last, known := a.chooser.lastCall(service)
	if !known {
		return time.Time{}, true
	}
	now := time.Now()
	head := forwarder.Head{
		Service: service, Nested: true, Rank: last.rank, Objective: last.objective, Deadline: now.Add(last.timeout),
		ObjectiveDeadline: now.Add(last.objective), Regions: last.regions,
	}
	request, rooms := a.chooser.roomsFor(now, a.Viewer.View(), head, false)
	reject, rejected := admitter.JudgeRooms(now, request, rooms...).(admitter.Reject)
	return reject.RoomAt, !rejected
}
