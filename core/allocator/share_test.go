package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/allocator"
)

// TestSharesOfAllNodesStayNearTheRate lets nodes without lenders admit all that they can for a minute.
func TestSharesOfAllNodesStayNearTheRate(t *testing.T) {
	const nodes, rate, burst, slack = 27, 30.0, 30, 10.0
	random := rand.New(rand.NewPCG(1, 1))
	shares := make([]allocator.FallbackBucket, nodes)
	now := time.Unix(1000, 0)
	admitted := 0
	for range 60_000 {
		now = now.Add(time.Millisecond)
		i := random.IntN(nodes)
		var ok bool
		if shares[i], _, ok = shares[i].Reserve(now, now, allocator.FallbackQuota{Rate: rate, Burst: burst, Slack: slack, Nodes: nodes}); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted <= rate*60+burst+slack, "%d admitted", admitted)
	assert.Assert(t, admitted > 0.9*rate*60, "%d admitted", admitted)
}

// TestBookedTokensKeepToTheRate lets requests wait for tokens to come, and counts when they go.
func TestBookedTokensKeepToTheRate(t *testing.T) {
	const wait = 600 * time.Millisecond
	division := allocator.FallbackQuota{Rate: 20, Slack: 10, Nodes: 10}
	start := time.Unix(1000, 0)
	var share allocator.FallbackBucket
	var gone []time.Time
	refused := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		var at time.Time
		var ok bool
		if share, at, ok = share.Reserve(now, now.Add(wait), division); !ok {
			refused++
			continue
		}
		assert.Assert(t, !at.Before(now) && !at.After(now.Add(wait)), "%v", at.Sub(now))
		assert.Assert(t, len(gone) == 0 || !at.Before(gone[len(gone)-1]), "requests go in their order")
		gone = append(gone, at)
	}
	for i := range gone {
		for j := i; j < len(gone); j++ {
			most := division.Slack/float64(division.Nodes) + 1 + float64(division.Rate)/float64(division.Nodes)*gone[j].Sub(gone[i]).Seconds()
			assert.Assert(t, float64(j-i+1) <= most+1e-6, "%d between %v and %v", j-i+1, gone[i], gone[j])
		}
	}
	assert.Assert(t, refused > 300 && len(gone) >= 40, "%d refused, %d gone", refused, len(gone))
}

// TestNewSharesTogetherHoldTheBurst starts all nodes at once, as after a loss of power, with one request for each.
func TestNewSharesTogetherHoldTheBurst(t *testing.T) {
	division := allocator.FallbackQuota{Rate: 30, Burst: 30, Slack: 10, Nodes: 27}
	now, admitted := time.Unix(1000, 0), 0
	for range division.Nodes {
		var share allocator.FallbackBucket
		for ok := true; ok; {
			if share, _, ok = share.Reserve(now, now, division); ok {
				admitted++
			}
		}
		assert.Assert(t, !share.Full(now, division))
		assert.Assert(t, share.Full(now.Add(2*time.Second), division))
	}
	assert.Assert(t, admitted >= division.Nodes && admitted <= division.Burst+int(division.Slack), "%d admitted", admitted)
}
