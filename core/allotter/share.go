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

// Book spends one token of the share for a request that may wait until last, and returns from when on the request may go.
// Tokens that are booked ahead go to the requests in their order. It reports false if there is no token in time. A share that
// was not used for long holds one token at most, or its part of the slack, so that a return of many nodes makes no burst.
func (s Share) Book(now, last time.Time, division Division) (next Share, at time.Time, ok bool) {
	nodes := float64(max(division.Nodes, 1))
	most := max(1, division.Slack/nodes)
	refill := float64(division.Rate) / nodes
	if s.updated.IsZero() {
		s.level = division.Slack / nodes
	} else {
		s.level = min(most, s.level+refill*now.Sub(s.updated).Seconds())
	}
	s.updated = now
	missing := max(0, 1-s.level)
	if missing > refill*last.Sub(now).Seconds() {
		return s, time.Time{}, false
	}
	s.level--
	if missing == 0 {
		return s, now, true
	}
	return s, now.Add(time.Duration(missing / refill * float64(time.Second))), true
}
