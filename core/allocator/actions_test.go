package allocator_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"samphiremount.example/core/allocator"
)

// actions returns the possible actions. An action that is listed twice is twice as likely.
func (f *fleet) actions() []func(*rapid.T) {
	lend := each(&f.requests, func(_ *rapid.T, r request) { f.lend(r) })
	receive := each(&f.replies, func(_ *rapid.T, r reply) { f.receive(r) })
	return []func(*rapid.T){
		f.advance, f.advance, f.advance, f.advance, f.exchange, f.exchange, f.exchange, f.spendAll, f.spendAll,
		func(t *rapid.T) { f.send(t) }, lend, lend, receive, receive, f.drop,
		each(&f.reports, func(_ *rapid.T, report allocator.LeaseReport) { f.applyReport(report) }),
		each(&f.lenders, func(_ *rapid.T, l *lender) { f.restart(l) }),
		each(&f.nodes, f.report), f.replaceNode, f.forgetIdle, f.spendAtExpiry, f.returnAndLend, f.saturate,
	}
}

// each returns an action that applies the given function to one of items.
func each[T any](items *[]T, action func(*rapid.T, T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(*items) > 0 {
			action(t, (*items)[rapid.IntRange(0, len(*items)-1).Draw(t, "item")])
		}
	}
}

func (f *fleet) spendAll(t *rapid.T) {
	for _, n := range f.nodes {
		f.spend(t, n, rapid.IntRange(0, f.workspace.Burst).Draw(t, "count"))
	}
}

func (f *fleet) replaceNode(t *rapid.T) {
	i := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "replaced")
	f.nodes[i] = &node{clock: drawClock(t), requested: make(map[int]time.Time)}
}

// advance advances true time: by a little, to about the expiry of a lease, or by an hour, as during a long partition.
func (f *fleet) advance(t *rapid.T) {
	steps := []time.Duration{time.Millisecond, 30 * time.Millisecond, allocator.LeaseLifetime, 2 * allocator.LeaseLifetime}
	step := rapid.SampledFrom(steps).Draw(t, "step")
	if rapid.IntRange(0, 30).Draw(t, "partition") == 30 {
		step = time.Hour
	}
	f.elapsed += step + time.Duration(rapid.Int64Range(-int64(step)/1000, int64(step)/1000).Draw(t, "elapsed"))
}

// drop drops a message of each kind. Messages that are not dropped may be delivered more than once.
func (f *fleet) drop(t *rapid.T) {
	f.requests = dropOne(t, f.requests)
	f.replies = dropOne(t, f.replies)
	f.reports = dropOne(t, f.reports)
}

func dropOne[T any](t *rapid.T, items []T) []T {
	if len(items) == 0 {
		return items
	}
	i := rapid.IntRange(0, len(items)-1).Draw(t, "dropped")
	return slices.Delete(items, i, i+1)
}

// exchange has a node request tokens and receive the reply without loss.
func (f *fleet) exchange(t *rapid.T) {
	f.lend(f.send(t))
	if len(f.replies) > 0 {
		f.receive(f.replies[len(f.replies)-1])
	}
}

// report has n report to its lenders and return the leases that expire soon. The reports may be delivered at once.
func (f *fleet) report(t *rapid.T, n *node) {
	now := n.at(f.elapsed)
	before := now.Add(time.Duration(rapid.Int64Range(0, int64(allocator.LeaseLifetime)).Draw(t, "before")))
	var reports []allocator.LeaseReport
	n.leases, reports = n.leases.CollectReports(now, before)
	f.reports = append(f.reports, reports...)
	if rapid.Bool().Draw(t, "delivered") {
		for _, report := range reports {
			f.applyReport(report)
		}
	}
}

// borrowAll requests tokens for the node n until every lender denies them.
func (f *fleet) borrowAll(n int) {
	for _, r := range f.borrowAllLate(n) {
		f.receive(r)
	}
}

// borrowAllLate does what borrowAll does, but returns the replies instead of having n receive them.
func (f *fleet) borrowAllLate(n int) []reply {
	before := len(f.replies)
	for i := range f.lenders {
		for granted := true; granted; {
			f.counter++
			f.nodes[n].requested[f.counter] = f.nodes[n].at(f.elapsed)
			replies := len(f.replies)
			f.lend(request{n, i, f.counter, f.workspace.Burst})
			granted = len(f.replies) > replies
		}
	}
	return slices.Clone(f.replies[before:])
}

// saturate spends all available tokens for 2 s, so that an excess over the rate adds up.
func (f *fleet) saturate(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "saturate") > 0 {
		return
	}
	for range 400 {
		f.elapsed += 5 * time.Millisecond
		f.borrowAll(0)
		f.spend(t, f.nodes[0], f.workspace.Burst)
		f.nodes[0].leases = f.reportAll(f.nodes[0], 0)
	}
}

// spendAtExpiry spends leases close to their expiry, and then the tokens that the lenders lend again.
func (f *fleet) spendAtExpiry(t *rapid.T) {
	replies := f.borrowAllLate(0)
	delay := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "delay"))
	f.elapsed += delay
	for _, r := range replies {
		f.receive(r)
	}
	f.elapsed += allocator.LeaseLifetime - delay + time.Duration(rapid.Int64Range(-3e6, 3e6).Draw(t, "late"))
	f.spend(t, f.nodes[0], f.workspace.Burst)
	f.elapsed += time.Duration(rapid.Int64Range(1e6, 15e6).Draw(t, "later"))
	f.borrowAll(1)
	f.spend(t, f.nodes[1], f.workspace.Burst)
}

// returnAndLend returns the leases of one node or restarts the lenders, lends to another node, and spends the tokens of
// both.
func (f *fleet) returnAndLend(t *rapid.T) {
	f.borrowAll(0)
	if rapid.Bool().Draw(t, "return") {
		f.nodes[0].leases = f.reportAll(f.nodes[0], allocator.LeaseLifetime)
	} else {
		for _, l := range f.lenders {
			f.restart(l)
		}
		f.elapsed += 10 * time.Millisecond
	}
	f.borrowAll(1)
	f.spend(t, f.nodes[0], f.workspace.Burst)
	f.spend(t, f.nodes[1], f.workspace.Burst)
}

// reportAll delivers all reports of n to the lenders. It returns n's leases without those that expire within
// returnBefore, which are returned.
func (f *fleet) reportAll(n *node, returnBefore time.Duration) allocator.LeaseSet {
	now := n.at(f.elapsed)
	leases, reports := n.leases.CollectReports(now, now.Add(returnBefore))
	for _, report := range reports {
		f.applyReport(report)
	}
	return leases
}

// forgetIdle removes the ledgers that lenders need not keep.
func (f *fleet) forgetIdle(*rapid.T) {
	for _, l := range f.lenders {
		if ledger, quota := f.ledger(l); ledger.Idle(l.at(f.elapsed), quota) {
			l.account = nil
		}
	}
}
