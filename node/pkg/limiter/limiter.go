// Package limiter draws a token for each request from the leases that the node holds, and keeps those leases filled.
package limiter

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/timekeeper"
)

const (
	// drawLimit bounds how long a request waits for a token that the node's own share may replace.
	drawLimit = 600 * time.Millisecond
	// strictPart is the part of its time for which a request waits where nothing replaces a lender's token: a lender that
	// restarts lends nothing for allotter.LenderTime.
	strictPart = 0.5
	// tryLimit bounds one question to a lender: a new connection to another region takes four ways there and back.
	tryLimit   = 300 * time.Millisecond
	shortPause = 50 * time.Millisecond
	leastPause = 5 * time.Millisecond
	// silentPause is how long a lender that did not answer is asked only after the others. It doubles with each further
	// time, up to maxSilentPause.
	silentPause    = time.Second
	maxSilentPause = 8 * time.Second
	flushPeriod    = 50 * time.Millisecond
	sweepPeriod    = 250 * time.Millisecond
	idleTime       = 3 * time.Second
	// returnTime is how much of a lease is left when its unspent tokens go back.
	returnTime   = allocator.LeaseTTL / 4
	reportsLimit = 4096
	// maxWaiters is the number of requests of a workspace that may wait for the next token of a rate that is used up, and
	// waitLimit how near that token must be. Parts of a rate run empty at moments when the whole does not.
	maxWaiters = 2
	waitLimit  = 120 * time.Millisecond
	// usedLimit bounds how long a request waits for tokens of a rate that is used up.
	usedLimit = 200 * time.Millisecond
)

var counters = expvar.NewMap("admit")

// Borrower sends messages to lenders.
type Borrower interface {
	Borrow(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error)
}

// Sources say where tokens come from.
type Sources struct {
	// Lenders returns the addresses of the lenders to ask for tokens of workspace, best first.
	Lenders func(workspace string) []string
	// Fallback returns how the rate of workspace is divided among the nodes while no lender lends. Without it such requests
	// are refused, which keeps the rate strictly.
	Fallback func(workspace string) allocator.FallbackQuota
	// Peers returns the addresses of some nodes that may reach a lender when this one does not. Without it none is asked.
	Peers func() []string
}

// Limiter holds the leases of the workspaces that are in use on this node.
type Limiter struct {
	borrower Borrower
	sources  Sources
	log      *slog.Logger
	group    errgroup.Group

	mu       sync.Mutex
	accounts map[string]*account
	reports  []borrower.Report
	silent   map[string]silence
	stopped  bool
	// borrowed says that a lender lent to this process.
	borrowed bool
}

// account is what the node knows of one workspace. Asking is closed when the message in flight was answered; it is nil
// if there is none. Short is the last answer without tokens. Partial says that the lender had much less than was wanted,
// so that the others are asked too; spreading says that they are being asked, and spreadAgain when next.
type account struct {
	holding allocator.LeaseSet
	demand  allocator.Demand
	asking  chan struct{}
	waiting int
	short   borrower.Reply
	share   allocator.FallbackBucket
	used    time.Time

	partial     bool
	spreading   bool
	spreadAgain time.Time
}

// New returns a Drawer without leases.
func New(borrower Borrower, sources Sources, log *slog.Logger) *Limiter {
	return &Limiter{
		borrower: borrower, sources: sources, log: log, accounts: make(map[string]*account), silent: make(map[string]silence),
	}
}

// Acquire spends one token of workspace for a request that ends at end, and returns why it could. Without a token it asks a
// lender and waits for at most drawLimit, or for strictPart of the request's time if that is more and nodes have no shares
// of their own. It refuses with RateExceeded if all lenders answered that the workspace's rate is used up, and with
// AllowanceShort if that is not known.
func (d *Limiter) Acquire(ctx context.Context, workspace string, end time.Time) (string, error) {
	began := timekeeper.Now()
	last := began.Add(d.limit(time.Until(end)))
	deadline := time.NewTimer(timekeeper.Until(last))
	defer deadline.Stop()
	for first := true; ; first = false {
		step, err := d.try(workspace, began, last, first)
		if err != nil {
			return "", err
		}
		switch step := step.(type) {
		case admitted:
			return step.reason, nil
		case booked:
			select {
			case <-after(timekeeper.Until(step.at)):
				return step.reason, nil
			case <-ctx.Done():
				return "", refuse(false, "the caller left")
			}
		case waiting:
			select {
			case <-step.answered:
				d.leave(workspace)
			case <-deadline.C:
				d.leave(workspace)
				return d.drawShare(workspace)
			case <-ctx.Done():
				d.leave(workspace)
				return "", refuse(false, "the caller left")
			}
		}
	}
}

// step is what a request does next: it is admitted, has a token booked, or waits to look again.
type step interface{ step() }

// admitted says that the request has a token, and why.
type admitted struct{ reason string }

// booked says that a token is the request's from at on.
type booked struct {
	reason string
	at     time.Time
}

// waiting says that the request looks again once answered is closed.
type waiting struct{ answered <-chan struct{} }

func (admitted) step() {}
func (booked) step()   {}
func (waiting) step()  {}

// limit returns how long a request waits for a token that has left to its end.
func (d *Limiter) limit(left time.Duration) time.Duration {
	if d.sources.Fallback != nil {
		return drawLimit
	}
	return max(drawLimit, time.Duration(strictPart*float64(left)))
}

// try spends or books a token for a request that came at began, or refuses, or returns what to wait for, until last at most.
func (d *Limiter) try(workspace string, began, last time.Time, first bool) (step, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := timekeeper.Now()
	a, ok := d.accounts[workspace]
	if !ok {
		a = &account{}
		d.accounts[workspace] = a
	}
	a.used = now
	if first {
		a.demand = a.demand.With(now)
	}
	holding, lease, ok := a.holding.Spend(now)
	a.holding = holding
	if ok {
		counters.Add("admitted", 1)
		d.prefetch(workspace, a, now)
		return admitted{fmt.Sprintf("lease %d of %s, %d left", lease.ID, lease.Lender, lease.Remaining())}, nil
	}
	if a.usedUp(now, began) {
		return nil, refuse(true, a.short.Reason)
	}
	if d.stopped {
		return nil, refuse(false, "the node is stopping")
	}
	if !a.short.Exhausted && now.Before(a.short.RetryAt) {
		if reason, at, ok := d.bookShare(workspace, a, last); ok {
			return booked{reason, at}, nil
		}
		if a.short.RetryAt.After(last) {
			refusal := refuser.From(refuse(false, "no lender lends in time: "+a.short.Reason))
			refusal.RetryAt = time.Now().Add(timekeeper.Until(a.short.RetryAt))
			return nil, refusal
		}
	}
	a.waiting++
	if now.Before(a.short.RetryAt) {
		// A token of the rate, or a lender that restarts, is there before long.
		return waiting{after(a.short.RetryAt.Sub(now))}, nil
	}
	if a.asking == nil {
		d.fetch(workspace, a, max(a.demand.Wanted(now), a.waiting))
	}
	return waiting{a.asking}, nil
}

// usedUp reports whether the rate is used up and a request that came at began is not to wait for its next token.
func (a *account) usedUp(now, began time.Time) bool {
	if !a.short.Exhausted || !now.Before(a.short.RetryAt) {
		return false
	}
	return a.waiting >= maxWaiters || a.short.RetryAt.Sub(now) > waitLimit || now.Sub(began) > usedLimit
}

// drawShare spends a token of the node's own share, since no lender answered.
func (d *Limiter) drawShare(workspace string) (string, error) {
	const reason = "no lender answered in time"
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.accounts[workspace]
	if !ok {
		return "", refuse(false, reason)
	}
	if a.short.Exhausted {
		return "", refuse(true, a.short.Reason)
	}
	if d.sources.Fallback == nil {
		return "", refuse(false, reason)
	}
	if reason, _, ok := d.bookShare(workspace, a, timekeeper.Now()); ok {
		return reason, nil
	}
	return "", refuse(false, reason+", and the node's share of the rate is used up")
}

// bookShare spends a token of the node's own share that there is by last, and returns from when on. The caller holds the
// lock.
func (d *Limiter) bookShare(workspace string, a *account, last time.Time) (reason string, at time.Time, ok bool) {
	if d.sources.Fallback == nil {
		return "", time.Time{}, false
	}
	division := d.division(workspace)
	a.share, at, ok = a.share.Reserve(timekeeper.Now(), last, division)
	if !ok {
		return "", time.Time{}, false
	}
	counters.Add("admitted_alone", 1)
	return "share of " + strconv.Itoa(division.Nodes) + " nodes, since no lender lends", at, true
}

// division returns how the rate of workspace is divided while no lender lends. The burst is part of that only for a process
// that never borrowed: all of them start at once after a loss of power, and nobody has used the burst. Others may be
// cut off from lenders that lend the burst to the rest. The caller holds the lock.
func (d *Limiter) division(workspace string) allocator.FallbackQuota {
	division := d.sources.Fallback(workspace)
	if d.borrowed {
		division.Burst = 0
	}
	return division
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// after returns a channel that is closed after delay.
func after(delay time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(delay, func() { close(done) })
	return done
}

func refuse(used bool, detail string) error {
	if used {
		counters.Add("refused_over", 1)
		return refuser.Refuse(refuser.RateExceeded, detail)
	}
	counters.Add("refused_within", 1)
	return refuser.Refuse(refuser.AllowanceShort, detail)
}

func (d *Limiter) leave(workspace string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.accounts[workspace]; ok {
		a.waiting--
	}
}

// prefetch asks for more before a busy workspace runs out, so that its requests wait for no answer. For others a token
// that is held here is more likely missed elsewhere.
func (d *Limiter) prefetch(workspace string, a *account, now time.Time) {
	wanted := a.demand.Wanted(now)
	if wanted == 1 || d.stopped || now.Before(a.short.RetryAt) || 2*a.holding.Remaining(now) >= wanted {
		return
	}
	if a.asking == nil {
		d.fetch(workspace, a, wanted)
	}
	if a.partial && 4*a.holding.Remaining(now) < wanted && !a.spreading && !now.Before(a.spreadAgain) {
		d.spread(workspace, a, wanted)
	}
}

func (d *Limiter) fetch(workspace string, a *account, wanted int) {
	a.asking = make(chan struct{})
	d.group.Go(func() error {
		asked, reply := d.borrow(borrower.Message{Workspace: workspace, Wanted: wanted})
		d.mu.Lock()
		defer d.mu.Unlock()
		d.take(a, asked, reply)
		a.partial = 4*reply.Tokens() < wanted
		if len(reply.Grants) == 0 {
			a.short = reply
			// A time that has passed on the way must not make the waiting requests ask without a pause.
			a.short.RetryAt = later(reply.RetryAt, timekeeper.Now().Add(leastPause))
		}
		close(a.asking)
		a.asking = nil
		return nil
	})
}

// spread asks for what the other lenders have, beside the messages to the current one.
func (d *Limiter) spread(workspace string, a *account, wanted int) {
	a.spreading = true
	d.group.Go(func() error {
		asked, reply := d.borrow(borrower.Message{Workspace: workspace, Wanted: wanted, AskPeers: true})
		d.mu.Lock()
		defer d.mu.Unlock()
		d.take(a, asked, reply)
		a.spreading = false
		if len(reply.Grants) == 0 {
			a.spreadAgain = reply.RetryAt
		}
		return nil
	})
}

// take adds what was lent to a. The caller holds the lock.
func (d *Limiter) take(a *account, asked time.Time, reply borrower.Reply) {
	d.borrowed = d.borrowed || len(reply.Grants) > 0
	for _, loan := range reply.Grants {
		a.holding = a.holding.With(allocator.NewLease(asked, loan.Lender, loan.ID, loan.Tokens))
	}
}

// borrow asks the lenders in turn, from the current one. Leases count from before the message that got them, which it
// returns too.
func (d *Limiter) borrow(message borrower.Message) (time.Time, borrower.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), drawLimit)
	defer cancel()
	last := borrower.Reply{Reason: "no lender answered", RetryAt: timekeeper.Now().Add(shortPause)}
	for _, address := range d.order(message.Workspace) {
		asked := timekeeper.Now()
		reply, err := d.send(ctx, address, message)
		if err != nil {
			continue
		}
		if reply.Tokens() > 0 || reply.Exhausted {
			return asked, reply
		}
		last = reply
	}
	return time.Time{}, last
}
