// Package limiter keeps workspaces within their rate and burst.
package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"samphiremount.example/core/configurer"
)

// Limiter divides each workspace's rate and burst evenly over the nodes. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*rate.Limiter
}

// New returns a limiter without history.
func New() *Limiter {
	return &Limiter{buckets: make(map[string]*rate.Limiter)}
}

// Draw takes one token of workspace at now and reports whether there was one. Nodes is the number of nodes that share
// the rate, at least 1.
func (l *Limiter) Draw(now time.Time, workspace configurer.Workspace, nodes int) bool {
	limit := rate.Limit(float64(workspace.Rate) / float64(nodes))
	burst := max(workspace.Burst/nodes, 1)
	bucket, ok := l.buckets[workspace.Name]
	if !ok {
		bucket = rate.NewLimiter(limit, burst)
		l.buckets[workspace.Name] = bucket
	}
	if bucket.Limit() != limit || bucket.Burst() != burst {
		bucket.SetLimitAt(now, limit)
		bucket.SetBurstAt(now, burst)
	}
	return bucket.AllowN(now, 1)
}
