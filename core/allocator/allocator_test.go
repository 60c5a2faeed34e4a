package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/configurer"
)

func TestQuotasAddUpToTheWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,3}"), 1, 7, rapid.ID[string]).Draw(t, "names")
		workspace := configurer.Workspace{
			Name: rapid.String().Draw(t, "workspace"), Rate: 30, Burst: rapid.IntRange(1, 50).Draw(t, "burst"),
		}
		var rate configurer.PerSecond
		burst := 0
		for _, name := range names {
			quota := allocator.QuotaFor(workspace, names, name)
			rate += quota.Rate
			burst += quota.Burst
		}
		assert.Equal(t, burst, workspace.Burst)
		assert.Assert(t, rate <= 30+1e-9 && rate >= 30-1e-9)
		assert.Equal(t, allocator.QuotaFor(workspace, names, "unknown"), allocator.Quota{})
	})
}

func TestLedgerGivesReasonForDenial(t *testing.T) {
	start := time.Unix(1000, 0)
	quota := allocator.Quota{Rate: 10, Burst: 1}
	ledger := allocator.NewLedger(start, start, quota)
	_, answer := ledger.Lend(start.Add(-time.Second), quota, 1, 1)
	assert.Equal(t, answer, allocator.Denied{Reason: allocator.Starting, Until: start})
	_, answer = ledger.Lend(start, allocator.Quota{}, 1, 1)
	assert.Equal(t, answer.(allocator.Denied).Reason, allocator.Unowned)
	_, answer = ledger.Lend(start, quota, 1, 1)
	assert.Equal(t, answer.(allocator.Denied).Reason, allocator.Exhausted)
	later := start.Add(time.Second)
	ledger, answer = ledger.Lend(later, quota, 5, 1)
	assert.Equal(t, answer, allocator.Granted{ID: 1, Tokens: 1})
	_, answer = ledger.Lend(later, quota, 1, 2)
	assert.Equal(t, answer, allocator.Denied{Reason: allocator.AllLeased, Until: later.Add(allocator.LenderLeaseLifetime)})
	ledger, known := ledger.ApplyReport(later, quota, allocator.Report{ID: 1, Returned: true})
	assert.Assert(t, known && ledger.Idle(later, quota))
}
