package allocator

import (
	"time"

	"samphiremount.example/core/configurer"
)

// FallbackBucket is what one node may admit of a workspace's rate by itself while no lender answers. It is an even part of the
// rate, so that all nodes together stay within it, as far as each knows the number of nodes. The zero value admits
// nothing. It is immutable.
type FallbackBucket struct {
	level   float64
	updated time.Time
}

// FallbackQuota says how a workspace's rate and burst are divided among Nodes while no lender answers. Slack is how many requests
// all of them together may admit beyond those.
type FallbackQuota struct {
	Rate  configurer.PerSecond
	Burst int
	Slack float64
	Nodes int
}

// perNode returns what one node may admit at once and in a second. It may always come to hold one token.
func (d FallbackQuota) perNode() (most, refill float64) {
	nodes := float64(max(d.Nodes, 1))
	return max(1, (float64(d.Burst)+d.Slack)/nodes), float64(d.Rate) / nodes
}

// Reserve spends one token of the share for a request that may wait until last, and returns from when on the request may go.
// Tokens that are booked ahead go to the requests in their order. It reports false if there is no token in time. A share
// that was not used yet holds its part of the burst and of the slack.
func (s FallbackBucket) Reserve(now, last time.Time, division FallbackQuota) (next FallbackBucket, at time.Time, ok bool) {
	_, refill := division.perNode()
	s.level, s.updated = s.at(now, division), now
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

// Full reports whether the share holds at now what one does that was not used yet.
func (s FallbackBucket) Full(now time.Time, division FallbackQuota) bool {
	most, _ := division.perNode()
	return s.at(now, division) >= most
}

// at returns the tokens that the share holds at now.
func (s FallbackBucket) at(now time.Time, division FallbackQuota) float64 {
	most, refill := division.perNode()
	if s.updated.IsZero() {
		return (float64(division.Burst) + division.Slack) / float64(max(division.Nodes, 1))
	}
	return min(most, s.level+refill*now.Sub(s.updated).Seconds())
}
