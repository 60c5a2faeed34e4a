package gatekeeper

import (
	"time"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/gossiper"
)

// Verdicts returns the verdicts on the targets of this VM that other nodes should know: those on targets that are not healthy,
// and on targets that were not until recently.
func (g *Gatekeeper) Verdicts(now time.Time) []gossiper.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	var verdicts []gossiper.Verdict
	for name, state := range g.states {
		n := gossiper.Verdict{Target: name, At: now}
		switch verdict := g.targetVerdict(now, name, state).(type) {
		case breaker.Suspect:
			n.State, n.TrialAt = gossiper.Suspect, verdict.NextTrial
		case breaker.Doubtful:
			n.State = gossiper.Doubtful
		case breaker.Healthy:
		}
		if n.State != gossiper.Healthy {
			state.unhealthyAt = now
		}
		if now.Sub(state.unhealthyAt) < gossiper.Lifetime {
			verdicts = append(verdicts, n)
		}
	}
	return verdicts
}
