package gatekeeper

import (
	"net/http"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/forwarder"
)

// recordStatements records what target states about itself in the head of an answer: a limit or none,
// that it leaves, and that it is cold.
func (g *Gatekeeper) recordStatements(target registrar.Announcement, header http.Header) {
	if g.protocol.Leaving(header) {
		g.targets.RecordLeaving(target)
	}
	g.recordCold(target, header)
	limit := g.protocol.Limit(header)
	g.updateTarget(target.Name, func(now time.Time, state *targetState) {
		if limit != state.loggedLimit {
			g.log.Info("limit of target changed", "target", target.Name, "named", limit.Named, "rate", limit.Rate)
			state.loggedLimit = limit
		}
		state.regulator = state.regulator.WithAnswer(now, limit)
	})
}

// checkLimit takes a token of the limit that the target has named, and refuses the request at once if there is none.
func (s *targetState) checkLimit(now time.Time, head forwarder.Head) error {
	next, retryAt, ok := s.regulator.WithReport(now, head.Limit).Admit(now)
	s.regulator = next
	if ok {
		return nil
	}
	return &refuser.Refusal{
		Kind: refuser.TargetLimited, Outcome: refuser.NotRun{}, Detail: "the target gets as many requests as it takes", RetryAt: retryAt,
	}
}
