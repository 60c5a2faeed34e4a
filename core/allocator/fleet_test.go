package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/configurer"
)

// clock is a monotonic clock that may be fast or slow and starts at an arbitrary time.
type clock struct {
	start time.Time
	drift int64 // per mille
}

func (c clock) at(elapsed time.Duration) time.Time {
	return c.start.Add(elapsed + elapsed/1000*time.Duration(c.drift))
}

// bucket is the test oracle: a single token bucket for all admitted requests in the order of true time.
type bucket struct {
	rate, burst, level float64
	updated            time.Duration
}

func (b *bucket) spend(t *rapid.T, elapsed time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(elapsed-b.updated).Seconds())
	b.updated = elapsed
	b.level--
	assert.Assert(t, b.level > -1e-6, "more than burst + rate x window admitted at %s: level %g", elapsed, b.level)
}

type lender struct {
	clock
	name        string
	incarnation string
	ready       time.Time
	account     *allocator.Ledger
}

type node struct {
	clock
	leases    allocator.LeaseSet
	requested map[int]time.Time
}

type request struct{ node, lender, sequence, wanted int }

type reply struct {
	node, sequence, tokens int
	incarnation            string
	id                     uint64
}

// fleet runs the decisions of lenders and nodes and compares them with the oracle. Messages stay in flight until they
// are dropped, so each may be lost, delayed, duplicated or reordered.
type fleet struct {
	workspace configurer.Workspace
	names     []string
	elapsed   time.Duration
	lenders   []*lender
	nodes     []*node
	requests  []request
	replies   []reply
	reports   []allocator.LeaseReport
	counter   int
	oracle    bucket
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{workspace: configurer.Workspace{
		Name:  rapid.StringMatching("[a-z]{1,4}").Draw(t, "workspace"),
		Rate:  configurer.PerSecond(rapid.SampledFrom([]float64{0.5, 3, 40, 900}).Draw(t, "rate")),
		Burst: rapid.IntRange(1, 12).Draw(t, "burst"),
	}}
	for i := range rapid.IntRange(1, 3).Draw(t, "lenders") {
		f.names = append(f.names, fmt.Sprintf("control%d", i))
		f.lenders = append(f.lenders, &lender{clock: drawClock(t), name: f.names[i]})
		f.restart(f.lenders[i])
	}
	for range 3 {
		f.nodes = append(f.nodes, &node{clock: drawClock(t), requested: make(map[int]time.Time)})
	}
	f.oracle = bucket{rate: float64(f.workspace.Rate), burst: float64(f.workspace.Burst)}
	f.oracle.level = f.oracle.burst
	return f
}

func drawClock(t *rapid.T) clock {
	start := rapid.Int64Range(0, 1e12).Draw(t, "start")
	return clock{time.Unix(0, start), rapid.Int64Range(-1, 1).Draw(t, "drift")}
}

// restart starts a new incarnation of l without its ledger.
func (f *fleet) restart(l *lender) {
	f.counter++
	l.incarnation = fmt.Sprintf("%s/%d", l.name, f.counter)
	l.ready = l.at(f.elapsed).Add(allocator.LenderLeaseLifetime)
	l.account = nil
}

// ledger returns the ledger of l, or a new one if it keeps none, and its quota.
func (f *fleet) ledger(l *lender) (allocator.Ledger, allocator.Quota) {
	quota := allocator.QuotaFor(f.workspace, f.names, l.name)
	if l.account != nil {
		return *l.account, quota
	}
	return allocator.NewLedger(l.ready, l.at(f.elapsed), quota), quota
}

func (f *fleet) send(t *rapid.T) request {
	f.counter++
	r := request{
		node: rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node"), lender: rapid.IntRange(0, len(f.lenders)-1).Draw(t, "lender"),
		sequence: f.counter, wanted: rapid.IntRange(1, 12).Draw(t, "wanted"),
	}
	f.nodes[r.node].requested[r.sequence] = f.nodes[r.node].at(f.elapsed)
	f.requests = append(f.requests, r)
	return r
}

func (f *fleet) lend(r request) {
	l := f.lenders[r.lender]
	ledger, quota := f.ledger(l)
	f.counter++
	ledger, answer := ledger.Lend(l.at(f.elapsed), quota, r.wanted, uint64(f.counter))
	l.account = &ledger
	if granted, ok := answer.(allocator.Granted); ok {
		f.replies = append(f.replies, reply{r.node, r.sequence, granted.Tokens, l.incarnation, granted.ID})
	}
}

func (f *fleet) receive(r reply) {
	n := f.nodes[r.node]
	if requested, ok := n.requested[r.sequence]; ok {
		delete(n.requested, r.sequence)
		n.leases = n.leases.With(allocator.NewLease(requested, r.incarnation, r.id, r.tokens))
	}
}

func (f *fleet) spend(t *rapid.T, n *node, count int) {
	for range count {
		next, _, ok := n.leases.Spend(n.at(f.elapsed))
		if !ok {
			return
		}
		n.leases = next
		f.oracle.spend(t, f.elapsed)
	}
}

func (f *fleet) applyReport(report allocator.LeaseReport) {
	for _, l := range f.lenders {
		if l.incarnation != report.Lender {
			continue
		}
		ledger, quota := f.ledger(l)
		ledger, _ = ledger.ApplyReport(l.at(f.elapsed), quota, report.Report)
		l.account = &ledger
	}
}

// TestFleetStaysWithinRateAndBurst checks that in any window all nodes together admit at most burst + rate x window,
// whatever happens to messages, processes and clocks.
func TestFleetStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		// In most runs the lenders have already waited LenderLeaseLifetime after their start, so that they lend.
		f.elapsed = rapid.SampledFrom([]time.Duration{0, 2 * allocator.LenderLeaseLifetime, time.Hour}).Draw(t, "age")
		actions := f.actions()
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
		}
	})
}
