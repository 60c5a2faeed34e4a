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

// Draw spends one token of the share at now, and reports whether there was one. Rate is the workspace's, divided by
// nodes. A share that was not used for long holds one token at most, so that a return of many nodes makes no burst.
func (s Share) Draw(now time.Time, rate configurer.PerSecond, nodes int) (Share, bool) {
	part := float64(rate) / float64(max(nodes, 1))
	if s.updated.IsZero() {
		s.level = 1 / float64(max(nodes, 1))
	} else {
		s.level = min(1, s.level+part*now.Sub(s.updated).Seconds())
	}
	s.updated = now
	if s.level < 1 {
		return s, false
	}
	s.level--
	return s, true
}
