package allocator_test

import (
	"testing"
	"time"

	"samphiremount.example/core/allocator"
)

// BenchmarkLend lends and settles with as many loans out as a data centre has nodes at the target size.
func BenchmarkLend(b *testing.B) {
	now := time.Unix(1000, 0)
	part := allocator.Quota{Rate: 1e6, Burst: 1e6}
	ledger := allocator.NewLedger(now.Add(-time.Hour), now, part)
	const nodes = 123
	for id := range uint64(nodes) {
		ledger, _ = ledger.Lend(now, part, 1, id)
	}
	id := uint64(nodes)
	for b.Loop() {
		ledger, _ = ledger.Lend(now, part, 1, id)
		ledger, _ = ledger.ApplyReport(now, part, allocator.Report{ID: id - nodes, Spent: 1})
		id++
	}
}

func BenchmarkDraw(b *testing.B) {
	now := time.Unix(1000, 0)
	holding := allocator.LeaseSet{}.With(allocator.NewLease(now, "control0", 1, 1<<40))
	for b.Loop() {
		holding, _, _ = holding.Spend(now)
	}
}
