package gatekeeper

import (
	"time"

	"samphiremount.example/core/decliner"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
)

// mayHaveDeclined reports whether the target may have declined the request before.
func (g *Gatekeeper) mayHaveDeclined(head forwarder.Head) bool {
	id := g.protocol.RequestID(head)
	if id == "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decliner.MayHaveDeclined(time.Now(), decliner.Request{Target: head.Target, ID: id})
}

// recordDecline remembers that the target declined the request.
func (g *Gatekeeper) recordDecline(head forwarder.Head) {
	id := g.protocol.RequestID(head)
	if id == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decliner.Record(time.Now(), decliner.Request{Target: head.Target, ID: id})
}

// reuse returns which connections to the target the request may use.
func (g *Gatekeeper) reuse(head forwarder.Head) connector.Reuse {
	switch {
	case g.mayHaveDeclined(head):
		return connector.ReuseNone
	case head.Repeatable:
		return connector.ReuseAny
	default:
		return connector.ReuseRecent
	}
}
