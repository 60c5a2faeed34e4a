package allocator

import (
	"time"

	"samphiremount.example/core/configurer"
)

// FallbackBucket is the token bucket from which a node admits requests of a workspace while no lender answers. Its rate
// is an even share of the workspace's rate, so all nodes together stay within that rate, as far as each knows the
// number of nodes. It is immutable. The zero value is an unused bucket, which holds the node's share of the burst and
// the slack.
type FallbackBucket struct {
	level   float64
	updated time.Time
}

// FallbackQuota is the rate and burst of a workspace that Nodes nodes share while no lender answers. Slack is the
// number of requests that all of them together may admit beyond the burst. MarginRate is the rate that they may admit
// beside lenders that lend all of Rate to other nodes.
type FallbackQuota struct {
	Rate       configurer.PerSecond
	MarginRate configurer.PerSecond
	Burst      int
	Slack      float64
	Nodes      int
}

// Margin is what the nodes together may admit of a workspace beyond its rate and burst: in any Window, Overage times
// (rate x Window + burst), plus Tolerance requests. Without a Window there is none.
type Margin struct {
	Overage   float64
	Tolerance float64
	Window    time.Duration
}

// slackShare is the fraction of the tolerance of a Margin that may be admitted at once.
const slackShare = 0.5

// FallbackQuota returns the quota that nodes share of workspace.
func (m Margin) FallbackQuota(workspace configurer.Workspace, nodes int) FallbackQuota {
	quota := FallbackQuota{Rate: workspace.Rate, Burst: workspace.Burst, Slack: slackShare * m.Tolerance, Nodes: nodes}
	if m.Window > 0 {
		beside := (m.Overage*float64(workspace.Burst) + (1-slackShare)*m.Tolerance) / m.Window.Seconds()
		quota.MarginRate = configurer.PerSecond(m.Overage)*workspace.Rate + configurer.PerSecond(beside)
	}
	return quota
}

// BesideLenders returns the quota for nodes that do not know whether the lenders lend to others.
func (q FallbackQuota) BesideLenders() FallbackQuota {
	q.Rate, q.Burst = min(q.Rate, q.MarginRate), 0
	return q
}

// perNode returns the capacity of one node's bucket, which is at least one token, and its refill in tokens per second.
func (q FallbackQuota) perNode() (capacity, refill float64) {
	nodes := float64(max(q.Nodes, 1))
	return max(1, (float64(q.Burst)+q.Slack)/nodes), float64(q.Rate) / nodes
}

// Reserve takes one token for a request that may wait until latest, and returns the time at which the request may be
// sent. Requests get future tokens in the order of their reservations. It returns false if there will be no token by
// latest.
func (b FallbackBucket) Reserve(now, latest time.Time, quota FallbackQuota) (next FallbackBucket, at time.Time, ok bool) {
	_, refill := quota.perNode()
	b.level, b.updated = b.at(now, quota), now
	missing := max(0, 1-b.level)
	if missing > refill*latest.Sub(now).Seconds() {
		return b, time.Time{}, false
	}
	b.level--
	if missing == 0 {
		return b, now, true
	}
	return b, now.Add(time.Duration(missing / refill * float64(time.Second))), true
}

// WithContact returns the bucket after a lender answered at now. What is in the bucket above the node's share of the slack
// is dropped: the lenders lend that rate.
func (b FallbackBucket) WithContact(now time.Time, quota FallbackQuota) FallbackBucket {
	b.level, b.updated = min(b.at(now, quota), quota.Slack/float64(max(quota.Nodes, 1))), now
	return b
}

// Full reports whether the bucket is full at now.
func (b FallbackBucket) Full(now time.Time, quota FallbackQuota) bool {
	capacity, _ := quota.perNode()
	return b.at(now, quota) >= capacity
}

// at returns the number of tokens in the bucket at now.
func (b FallbackBucket) at(now time.Time, quota FallbackQuota) float64 {
	capacity, refill := quota.perNode()
	if b.updated.IsZero() {
		return (float64(quota.Burst) + quota.Slack) / float64(max(quota.Nodes, 1))
	}
	return min(capacity, b.level+refill*now.Sub(b.updated).Seconds())
}
