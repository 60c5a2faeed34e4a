package allotter

import (
	"time"

	"samphiremount.example/core/configurer"
)

// Share is what one node may admit of a workspace's rate by itself while no lender answers. It is an even part of the
// rate, so that all nodes together stay within it, as far as each knows the number of nodes. The zero value admits
// nothing. It is immutable.
type Share struct {
	level   float64
	updated time.Time
}

// Division says how a workspace's rate is divided among Nodes while no lender answers. Slack is how many requests all of
// them together may admit at once.
type Division struct {
	Rate  configurer.PerSecond
	Slack float64
	Nodes int
}

// Draw spends one token of the share at now, and reports whether there was one. A share that was not used for long holds
// one token at most, or its part of the slack, so that a return of many nodes makes no burst.
func (s Share) Draw(now time.Time, division Division) (Share, bool) {
	nodes := float64(max(division.Nodes, 1))
	most := max(1, division.Slack/nodes)
	if s.updated.IsZero() {
		s.level = division.Slack / nodes
	} else {
		s.level = min(most, s.level+float64(division.Rate)/nodes*now.Sub(s.updated).Seconds())
	}
	s.updated = now
	if s.level < 1 {
		return s, false
	}
	s.level--
	return s, true
}
