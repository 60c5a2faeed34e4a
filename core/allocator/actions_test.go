package allocator_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"samphiremount.example/core/allocator"
)

// actions returns what can happen; what is listed twice happens twice as often.
func (f *fleet) actions() []func(*rapid.T) {
	lend := each(&f.requests, func(_ *rapid.T, a request) { f.lend(a) })
	take := each(&f.replies, func(_ *rapid.T, r reply) { f.receive(r) })
	return []func(*rapid.T){
		f.advance, f.advance, f.advance, f.advance, f.exchange, f.exchange, f.exchange, f.spendAll, f.spendAll,
		func(t *rapid.T) { f.send(t) }, lend, lend, take, take, f.drop,
		each(&f.reports, func(_ *rapid.T, s allocator.LeaseReport) { f.applyReport(s) }),
		each(&f.lenders, func(_ *rapid.T, l *lender) { f.restart(l) }),
		each(&f.nodes, f.report), f.replaceNode, f.forgetIdle, f.spendAtExpiry, f.returnAndLend, f.saturate,
	}
}

// each returns an action on one of items.
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
	f.nodes[i] = &node{clock: drawClock(t), asked: make(map[int]time.Time)}
}

// advance moves true time: a little, to about the end of a lease, or past a long cut.
func (f *fleet) advance(t *rapid.T) {
	steps := []time.Duration{time.Millisecond, 30 * time.Millisecond, allocator.LeaseTTL, 2 * allocator.LeaseTTL}
	step := rapid.SampledFrom(steps).Draw(t, "step")
	if rapid.IntRange(0, 30).Draw(t, "cut") == 30 {
		step = time.Hour
	}
	f.elapsed += step + time.Duration(rapid.Int64Range(-int64(step)/1000, int64(step)/1000).Draw(t, "elapsed"))
}

// drop loses a message of each kind; what stays may be delivered again.
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

// exchange asks, lends and takes without loss.
func (f *fleet) exchange(t *rapid.T) {
	f.lend(f.send(t))
	if len(f.replies) > 0 {
		f.receive(f.replies[len(f.replies)-1])
	}
}

func (f *fleet) report(t *rapid.T, n *node) {
	now := n.at(f.elapsed)
	before := now.Add(time.Duration(rapid.Int64Range(0, int64(allocator.LeaseTTL)).Draw(t, "before")))
	var settlements []allocator.LeaseReport
	n.leases, settlements = n.leases.CollectReports(now, before)
	f.reports = append(f.reports, settlements...)
	if rapid.Bool().Draw(t, "heard") {
		for _, settlement := range settlements {
			f.applyReport(settlement)
		}
	}
}

// borrowAll asks on behalf of n until every lender is short.
func (f *fleet) borrowAll(n int) {
	for _, r := range f.borrowAllLate(n) {
		f.receive(r)
	}
}

// borrowAllLate returns the replies that n has yet to take.
func (f *fleet) borrowAllLate(n int) []reply {
	before := len(f.replies)
	for i := range f.lenders {
		for lent := true; lent; {
			f.counter++
			f.nodes[n].asked[f.counter] = f.nodes[n].at(f.elapsed)
			replies := len(f.replies)
			f.lend(request{n, i, f.counter, f.workspace.Burst})
			lent = len(f.replies) > replies
		}
	}
	return slices.Clone(f.replies[before:])
}

// saturate spends all that can be had for a while, so that an excess of the rate adds up.
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

// spendAtExpiry uses leases at about their end, and then what the lenders lend again.
func (f *fleet) spendAtExpiry(t *rapid.T) {
	replies := f.borrowAllLate(0)
	late := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "on the way"))
	f.elapsed += late
	for _, r := range replies {
		f.receive(r)
	}
	f.elapsed += allocator.LeaseTTL - late + time.Duration(rapid.Int64Range(-3e6, 3e6).Draw(t, "late"))
	f.spend(t, f.nodes[0], f.workspace.Burst)
	f.elapsed += time.Duration(rapid.Int64Range(1e6, 15e6).Draw(t, "later"))
	f.borrowAll(1)
	f.spend(t, f.nodes[1], f.workspace.Burst)
}

// returnAndLend gives leases back or restarts the lenders, and spends what two nodes then hold.
func (f *fleet) returnAndLend(t *rapid.T) {
	f.borrowAll(0)
	if rapid.Bool().Draw(t, "return") {
		f.nodes[0].leases = f.reportAll(f.nodes[0], allocator.LeaseTTL)
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

func (f *fleet) reportAll(n *node, returned time.Duration) allocator.LeaseSet {
	now := n.at(f.elapsed)
	holding, settlements := n.leases.CollectReports(now, now.Add(returned))
	for _, s := range settlements {
		f.applyReport(s)
	}
	return holding
}

func (f *fleet) forgetIdle(*rapid.T) {
	for _, l := range f.lenders {
		if ledger, part := f.ledger(l); ledger.Idle(l.at(f.elapsed), part) {
			l.account = nil
		}
	}
}
