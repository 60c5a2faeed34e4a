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

// clock is a monotonic clock that may be fast or slow and starts anywhere.
type clock struct {
	start time.Time
	drift int64 // in parts of a thousand
}

func (c clock) at(elapsed time.Duration) time.Time {
	return c.start.Add(elapsed + elapsed/1000*time.Duration(c.drift))
}

// bucket is the oracle: one plain token bucket over all admitted requests in the order of true time.
type bucket struct {
	rate, burst, level float64
	updated            time.Duration
}

func (b *bucket) spend(t *rapid.T, elapsed time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(elapsed-b.updated).Seconds())
	b.updated = elapsed
	b.level--
	assert.Assert(t, b.level > -1e-6, "past burst + rate x window at %s: %g", elapsed, b.level)
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
	leases allocator.LeaseSet
	asked  map[int]time.Time
}

type request struct{ node, lender, sequence, wanted int }

type reply struct {
	node, sequence, tokens int
	incarnation            string
	id                     uint64
}

// fleet runs the real decisions of lenders and nodes beside the oracle. Messages stay in flight until they are dropped,
// so that each may be lost, late, doubled or out of order.
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
		f.nodes = append(f.nodes, &node{clock: drawClock(t), asked: make(map[int]time.Time)})
	}
	f.oracle = bucket{rate: float64(f.workspace.Rate), burst: float64(f.workspace.Burst)}
	f.oracle.level = f.oracle.burst
	return f
}

func drawClock(t *rapid.T) clock {
	start := rapid.Int64Range(0, 1e12).Draw(t, "start")
	return clock{time.Unix(0, start), rapid.Int64Range(-1, 1).Draw(t, "drift")}
}

func (f *fleet) restart(l *lender) {
	f.counter++
	l.incarnation = fmt.Sprintf("%s/%d", l.name, f.counter)
	l.ready = l.at(f.elapsed).Add(allocator.LenderLeaseTTL)
	l.account = nil
}

func (f *fleet) ledger(l *lender) (allocator.Ledger, allocator.Quota) {
	part := allocator.QuotaFor(f.workspace, f.names, l.name)
	if l.account != nil {
		return *l.account, part
	}
	return allocator.NewLedger(l.ready, l.at(f.elapsed), part), part
}

func (f *fleet) send(t *rapid.T) request {
	f.counter++
	a := request{
		node: rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node"), lender: rapid.IntRange(0, len(f.lenders)-1).Draw(t, "lender"),
		sequence: f.counter, wanted: rapid.IntRange(1, 12).Draw(t, "wanted"),
	}
	f.nodes[a.node].asked[a.sequence] = f.nodes[a.node].at(f.elapsed)
	f.requests = append(f.requests, a)
	return a
}

func (f *fleet) lend(a request) {
	l := f.lenders[a.lender]
	ledger, part := f.ledger(l)
	f.counter++
	ledger, answer := ledger.Lend(l.at(f.elapsed), part, a.wanted, uint64(f.counter))
	l.account = &ledger
	if lent, ok := answer.(allocator.Granted); ok {
		f.replies = append(f.replies, reply{a.node, a.sequence, lent.Tokens, l.incarnation, lent.ID})
	}
}

func (f *fleet) receive(r reply) {
	n := f.nodes[r.node]
	if asked, ok := n.asked[r.sequence]; ok {
		delete(n.asked, r.sequence)
		n.leases = n.leases.With(allocator.NewLease(asked, r.incarnation, r.id, r.tokens))
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

func (f *fleet) applyReport(s allocator.LeaseReport) {
	for _, l := range f.lenders {
		if l.incarnation != s.Lender {
			continue
		}
		ledger, part := f.ledger(l)
		ledger, _ = ledger.ApplyReport(l.at(f.elapsed), part, s.Report)
		l.account = &ledger
	}
}

// Over any window, all nodes together admit at most burst + rate x window.
func TestFleetStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		// Most leases are taken once the lenders have waited out their start.
		f.elapsed = rapid.SampledFrom([]time.Duration{0, 2 * allocator.LenderLeaseTTL, time.Hour}).Draw(t, "age")
		actions := f.actions()
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
		}
	})
}
