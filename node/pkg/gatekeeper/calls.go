package gatekeeper

import (
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// Callable reports whether a call of a target of this VM to a service can be served in time, as far as the node knows, and if
// not, when room is expected.
type Callable func(service string) (roomAt time.Time, ok bool)

// RecordCall records that a target of this VM has called service.
func (g *Gatekeeper) RecordCall(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attributor.Call(service)
}

// beginRun records that the request of head is sent to its target.
func (g *Gatekeeper) beginRun(head forwarder.Head) {
	if g.admission {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.attributor.Start(head.AttemptID)
	}
}

// endRun records that the run of the request of head has ended, if it had begun.
func (g *Gatekeeper) endRun(head forwarder.Head, served bool) {
	if g.admission {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.attributor.End(head.AttemptID, head.Objective, served)
	}
}

// checkCalls refuses a request whose run would call a service that cannot serve the call. A nested call is not refused: its run
// has begun, and fails without it.
func (g *Gatekeeper) checkCalls(now time.Time, head forwarder.Head) error {
	if g.callable == nil || head.Objective == 0 || head.Nested {
		return nil
	}
	g.mu.Lock()
	services := g.attributor.Calls(head.Objective)
	g.mu.Unlock()
	for _, service := range services {
		roomAt, ok := g.callable(service)
		if ok {
			continue
		}
		const reason = "call"
		g.counts.Add("short_"+reason, 1)
		g.log.Info("request not started", "request", head.AttemptID, "target", head.Target, "reason", reason, "called", service,
			"rank", int(head.Rank), "inner", head.Nested, "remaining", head.Deadline.Sub(now), "room", roomAt.Sub(now))
		return &refuser.Refusal{
			Kind: refuser.CallShort, Outcome: refuser.NotRun{}, Detail: "no room for its call of " + service, RetryAt: roomAt,
		}
	}
	return nil
}
