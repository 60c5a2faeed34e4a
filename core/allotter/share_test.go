package allotter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/allotter"
)

// TestSharesOfAllNodesStayNearTheRate lets nodes without lenders admit all that they can for a minute.
func TestSharesOfAllNodesStayNearTheRate(t *testing.T) {
	const nodes, rate, slack = 27, 30.0, 10.0
	random := rand.New(rand.NewPCG(1, 1))
	shares := make([]allotter.Share, nodes)
	now := time.Unix(1000, 0)
	admitted := 0
	for range 60_000 {
		now = now.Add(time.Millisecond)
		i := random.IntN(nodes)
		var ok bool
		if shares[i], ok = shares[i].Draw(now, allotter.Division{Rate: rate, Slack: slack, Nodes: nodes}); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted <= rate*60+slack, "%d admitted", admitted)
	assert.Assert(t, admitted > 0.9*rate*60, "%d admitted", admitted)
}
