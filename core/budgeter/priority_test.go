package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/budgeter"
)

// servedReads simulates a minute of 20 reads a second, each of which makes a call to another service with seven chances in ten
// twice, and fails if a call fails for good. One call in eight fails, and one read in fifty by itself; a fifth of the reads and
// calls are slow enough for a hedge, but end well. Hedges ask for the budget as hedges if they are told apart. It returns
// the fraction of the reads that were served.
func servedReads(toldApart bool) float64 {
	const callFails, readFails, slow, calls = 0.125, 0.02, 0.2, 1.4
	random := rand.New(rand.NewPCG(9, 1))
	ledger := budgeter.NewLedger(budgeter.Allowance{Ratio: 0.12, Slack: 35, Window: 10 * time.Second})
	now := start
	report := func(edge budgeter.Edge, repeats float64) {
		ledger.Apply(now, budgeter.Report{
			Requests: map[string]budgeter.RequestCount{
				"reads": {Requests: 1, Repeatable: 1}, "scores": {Requests: calls, Repeatable: calls},
			},
			Calls: map[budgeter.Edge]budgeter.CallCount{edge: {Calls: calls, Repeats: repeats}},
		})
	}
	hedge := func(service string) {
		if random.Float64() < slow {
			ledger.Acquire(now, budgeter.Extra{Service: service, Hedge: toldApart})
		}
	}
	run := func() (served bool) {
		hedge("reads")
		served = random.Float64() >= readFails
		for range 2 {
			if random.Float64() >= calls/2 {
				continue
			}
			hedge("scores")
			if random.Float64() < callFails {
				granted, _ := ledger.Acquire(now, budgeter.Extra{Service: "scores"})
				served = served && granted && random.Float64() >= callFails/4
			}
		}
		return served
	}
	edge := budgeter.Edge{Caller: "reads", Callee: "scores"}
	served, total := 0, 0
	for ; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		report(edge, 0)
		total++
		if run() {
			served++
			continue
		}
		if granted, _ := ledger.Acquire(now, budgeter.Extra{Service: "reads"}); granted && run() {
			served++
		}
	}
	return float64(served) / float64(total)
}

// TestHedgesLeaveTheBudgetToFailures compares reads whose hedges and retries share one budget as equals with those where
// hedges, and retries that make calls again, leave a part of it.
func TestHedgesLeaveTheBudgetToFailures(t *testing.T) {
	equal, ordered := servedReads(false), servedReads(true)
	t.Logf("served %.3f of the reads as equals, %.3f in order", equal, ordered)
	assert.Assert(t, 1-ordered < 0.8*(1-equal))
}
