package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/allocator"
)

// TestFallbackBucketsStayNearTheRate has nodes that reach no lender admit all that they can for a minute.
func TestFallbackBucketsStayNearTheRate(t *testing.T) {
	const nodes, rate, burst, slack = 27, 30.0, 30, 10.0
	random := rand.New(rand.NewPCG(1, 1))
	buckets := make([]allocator.FallbackBucket, nodes)
	now := time.Unix(1000, 0)
	admitted := 0
	for range 60_000 {
		now = now.Add(time.Millisecond)
		i := random.IntN(nodes)
		var ok bool
		if buckets[i], _, ok = buckets[i].Reserve(now, now, allocator.FallbackQuota{Rate: rate, Burst: burst, Slack: slack, Nodes: nodes}); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted <= rate*60+burst+slack, "%d admitted", admitted)
	assert.Assert(t, admitted > 0.9*rate*60, "%d admitted", admitted)
}

// TestReservedTokensKeepToTheRate has requests wait for future tokens and checks the times at which they are sent.
func TestReservedTokensKeepToTheRate(t *testing.T) {
	const wait = 600 * time.Millisecond
	quota := allocator.FallbackQuota{Rate: 20, Slack: 10, Nodes: 10}
	start := time.Unix(1000, 0)
	var bucket allocator.FallbackBucket
	var sent []time.Time
	refused := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		var at time.Time
		var ok bool
		if bucket, at, ok = bucket.Reserve(now, now.Add(wait), quota); !ok {
			refused++
			continue
		}
		assert.Assert(t, !at.Before(now) && !at.After(now.Add(wait)), "%v", at.Sub(now))
		assert.Assert(t, len(sent) == 0 || !at.Before(sent[len(sent)-1]), "requests are sent in their order")
		sent = append(sent, at)
	}
	for i := range sent {
		for j := i; j < len(sent); j++ {
			maxSent := quota.Slack/float64(quota.Nodes) + 1 + float64(quota.Rate)/float64(quota.Nodes)*sent[j].Sub(sent[i]).Seconds()
			assert.Assert(t, float64(j-i+1) <= maxSent+1e-6, "%d between %v and %v", j-i+1, sent[i], sent[j])
		}
	}
	assert.Assert(t, refused > 300 && len(sent) >= 40, "%d refused, %d sent", refused, len(sent))
}

// TestUnusedFallbackBucketsHoldTheBurst starts all nodes at once, as after a power failure, and has each admit all that
// it can. Each must admit a request, all together at most the burst and the slack.
func TestUnusedFallbackBucketsHoldTheBurst(t *testing.T) {
	quota := allocator.FallbackQuota{Rate: 30, Burst: 30, Slack: 10, Nodes: 27}
	now, admitted := time.Unix(1000, 0), 0
	for range quota.Nodes {
		var bucket allocator.FallbackBucket
		for ok := true; ok; {
			if bucket, _, ok = bucket.Reserve(now, now, quota); ok {
				admitted++
			}
		}
		assert.Assert(t, !bucket.Full(now, quota))
		assert.Assert(t, bucket.Full(now.Add(2*time.Second), quota))
	}
	assert.Assert(t, admitted >= quota.Nodes && admitted <= quota.Burst+int(quota.Slack), "%d admitted", admitted)
}
