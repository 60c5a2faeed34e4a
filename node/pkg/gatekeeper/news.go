package gatekeeper

import (
	"time"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/informer"
)

// News returns the verdicts on the targets of this VM that other nodes should know: those on targets that are not healthy,
// and on targets that were not until recently.
func (g *Gatekeeper) News(now time.Time) []informer.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	var news []informer.News
	for name, state := range g.states {
		n := informer.News{Target: name, At: now}
		switch verdict := g.targetVerdict(now, name, state).(type) {
		case breaker.Suspect:
			n.State, n.TrialAt = informer.Suspect, verdict.NextTrial
		case breaker.Doubtful:
			n.State = informer.Doubtful
		case breaker.Healthy:
		}
		if n.State != informer.Healthy {
			state.unhealthyAt = now
		}
		if now.Sub(state.unhealthyAt) < informer.Lifetime {
			news = append(news, n)
		}
	}
	return news
}
