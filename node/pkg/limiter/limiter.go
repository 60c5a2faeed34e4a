// Package limiter spends a token for each request from the leases that the node holds, and keeps the node supplied with
// leases.
package limiter

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/timekeeper"
)

const (
	// acquireTimeout bounds how long a request waits for a lender's token if the node has a fallback quota.
	acquireTimeout = 600 * time.Millisecond
	// strictWaitFraction is the fraction of its remaining time for which a request waits if the node has no fallback
	// quota: a lender that restarts grants nothing for allocator.LenderLeaseLifetime.
	strictWaitFraction = 0.5
	// lenderTimeout bounds one message to a lender. Over a new connection to a remote region it takes four round trips.
	lenderTimeout    = 300 * time.Millisecond
	noAnswerBackoff  = 50 * time.Millisecond
	minRetryInterval = 5 * time.Millisecond
	// minSilentBackoff is how long a lender that did not answer is asked only after the others. It doubles with each
	// further failure, up to maxSilentBackoff.
	minSilentBackoff = time.Second
	maxSilentBackoff = 8 * time.Second
	flushInterval    = 50 * time.Millisecond
	sweepInterval    = 250 * time.Millisecond
	idleTimeout      = 3 * time.Second
	// returnBeforeEnd is the remaining time of a lease at which its unspent tokens are returned.
	returnBeforeEnd = allocator.LeaseLifetime / 4
	maxReports      = 4096
	// maxWaiters bounds the requests of a workspace that wait for the next token of an exhausted rate, and maxTokenWait
	// the time until that token. A lender's quota can be exhausted at moments when the whole rate is not.
	maxWaiters   = 2
	maxTokenWait = 120 * time.Millisecond
	// maxExhaustedWait bounds how long a request waits in all for tokens of an exhausted rate.
	maxExhaustedWait = 200 * time.Millisecond
)

var counters = expvar.NewMap("admit")

// Borrower sends messages to lenders.
type Borrower interface {
	Borrow(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error)
}

// Sources tells a Limiter where tokens come from.
type Sources struct {
	// Lenders returns the addresses of the lenders to ask for tokens of workspace, best first.
	Lenders func(workspace string) []string
	// Fallback returns how the rate of workspace is divided among the nodes while no lender grants tokens. If it is
	// nil, requests are refused then, which keeps the rate strictly.
	Fallback func(workspace string) allocator.FallbackQuota
	// Peers returns the addresses of some nodes that may reach a lender when this one does not. If it is nil, none is
	// asked.
	Peers func() []string
	// Agreed is set if Lenders returns the owners of a workspace as control processes have agreed on them.
	Agreed *Agreed
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
	backoffs map[string]backoff
	contacts map[string]contact
	// readyAt is when a lender that has answered that it starts will lend.
	readyAt map[string]time.Time
	stopped bool
	// borrowed is set once a lender has granted tokens to this process.
	borrowed bool
}

// account is the state of one workspace on this node. fetching is closed when the message in flight is answered; it is
// nil if there is none. denial is the last reply without tokens. partialGrant is set if the lender granted much less
// than was wanted, so that the others are asked too; askingOthers is set while they are asked, and askOthersAt is when
// they may be asked next.
type account struct {
	leases   allocator.LeaseSet
	demand   allocator.Demand
	fetching chan struct{}
	waiting  int
	denial   borrower.Reply
	fallback allocator.FallbackBucket
	lastUsed time.Time
	// lendersIdle is set while all lenders have answered that they do not lend yet.
	lendersIdle bool

	partialGrant bool
	askingOthers bool
	askOthersAt  time.Time
}

// New returns a Limiter without leases.
func New(borrower Borrower, sources Sources, log *slog.Logger) *Limiter {
	return &Limiter{
		borrower: borrower, sources: sources, log: log, accounts: make(map[string]*account),
		backoffs: make(map[string]backoff), readyAt: make(map[string]time.Time), contacts: make(map[string]contact),
	}
}

// Acquire spends one token of workspace for a request with the objective and deadline, and returns the reason for the
// admission. An objective of 0 means that the request has none. Without a token it asks a lender and waits for at most
// acquireTimeout, or for agreedTimeout if control processes have agreed on the lenders. If the node has no fallback quota, it waits
// for strictWaitFraction of the time until the deadline if that is longer. It never waits past the deadline. It
// refuses with RateExceeded if all lenders answered that the workspace's rate is exhausted, and with AllowanceShort if
// that is not known.
func (l *Limiter) Acquire(ctx context.Context, workspace string, objective time.Duration, deadline time.Time) (string, error) {
	arrived := timekeeper.Now()
	waitUntil := arrived.Add(l.waitTimeout(objective, time.Until(deadline)))
	timer := time.NewTimer(timekeeper.Until(waitUntil))
	defer timer.Stop()
	for first := true; ; first = false {
		step, err := l.tryAcquire(workspace, arrived, waitUntil, first)
		if err != nil {
			return "", err
		}
		switch step := step.(type) {
		case admitted:
			return step.reason, nil
		case reserved:
			select {
			case <-after(timekeeper.Until(step.at)):
				return step.reason, nil
			case <-ctx.Done():
				return "", refuse(false, "the caller left")
			}
		case waiting:
			select {
			case <-step.answered:
				l.stopWaiting(workspace)
			case <-timer.C:
				l.stopWaiting(workspace)
				return l.acquireFallback(workspace)
			case <-ctx.Done():
				l.stopWaiting(workspace)
				return "", refuse(false, "the caller left")
			}
		}
	}
}

// waitTimeout returns how long a request with objective waits for a token if remaining is the time until its deadline.
func (l *Limiter) waitTimeout(objective, remaining time.Duration) time.Duration {
	if l.sources.Agreed != nil {
		return agreedTimeout(objective, remaining)
	}
	timeout := acquireTimeout
	if l.sources.Fallback == nil {
		timeout = max(timeout, time.Duration(strictWaitFraction*float64(remaining)))
	}
	return max(min(timeout, remaining), 0)
}

// tryAcquire spends or reserves a token for a request that arrived at arrived, or refuses the request, or returns what
// to wait for, at most until waitUntil. The first call for a request counts it as demand.
func (l *Limiter) tryAcquire(workspace string, arrived, waitUntil time.Time, first bool) (step, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	a := l.account(workspace)
	a.lastUsed = now
	if first {
		a.demand = a.demand.With(now)
	}
	leases, lease, ok := a.leases.Spend(now)
	a.leases = leases
	if ok {
		counters.Add("admitted", 1)
		l.prefetch(workspace, a, now)
		return admitted{fmt.Sprintf("lease %d of %s, %d left", lease.ID, lease.Lender, lease.Remaining())}, nil
	}
	if a.exhausted(now, arrived) {
		return nil, refuse(true, a.denial.Reason)
	}
	if l.stopped {
		return nil, refuse(false, "the node is stopping")
	}
	if !a.denial.Exhausted && now.Before(a.denial.RetryAt) {
		if reason, at, ok := l.reserveFallback(workspace, a, waitUntil); ok {
			return reserved{reason, at}, nil
		}
		if a.denial.RetryAt.After(waitUntil) {
			refusal := refuser.From(refuse(false, "no lender lends in time: "+a.denial.Reason))
			refusal.RetryAt = time.Now().Add(timekeeper.Until(a.denial.RetryAt))
			return nil, refusal
		}
	}
	a.waiting++
	if now.Before(a.denial.RetryAt) {
		// The next token of the rate, or a lender that restarts, will be available soon.
		return waiting{after(a.denial.RetryAt.Sub(now))}, nil
	}
	if a.fetching == nil {
		l.fetch(workspace, a, max(a.demand.Wanted(now), a.waiting))
	}
	return waiting{a.fetching}, nil
}

// exhausted reports whether the rate is exhausted and a request that arrived at arrived should not wait for its next
// token.
func (a *account) exhausted(now, arrived time.Time) bool {
	if !a.denial.Exhausted || !now.Before(a.denial.RetryAt) {
		return false
	}
	return a.waiting >= maxWaiters || a.denial.RetryAt.Sub(now) > maxTokenWait || now.Sub(arrived) > maxExhaustedWait
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasBorrowed reports whether a lender has granted tokens to this process.
func (l *Limiter) hasBorrowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrowed
}

// after returns a channel that is closed after delay.
func after(delay time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(delay, func() { close(done) })
	return done
}

func refuse(exhausted bool, detail string) error {
	if exhausted {
		counters.Add("refused_over", 1)
		return refuser.Refuse(refuser.RateExceeded, detail)
	}
	counters.Add("refused_within", 1)
	return refuser.Refuse(refuser.AllowanceShort, detail)
}

func (l *Limiter) stopWaiting(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[workspace]; ok {
		a.waiting--
	}
}

// prefetch asks for more tokens before a busy workspace runs out, so that its requests do not wait for a reply. It does
// nothing for other workspaces, since a token held here is more likely to be missing on another node.
func (l *Limiter) prefetch(workspace string, a *account, now time.Time) {
	wanted := a.demand.Wanted(now)
	if wanted == 1 || l.stopped || now.Before(a.denial.RetryAt) || 2*a.leases.Remaining(now) >= wanted {
		return
	}
	if a.fetching == nil {
		l.fetch(workspace, a, wanted)
	}
	if a.partialGrant && 4*a.leases.Remaining(now) < wanted && !a.askingOthers && !now.Before(a.askOthersAt) {
		if l.sources.Agreed != nil {
			l.fetchAgreed(workspace, a, wanted)
			return
		}
		l.fetchFromOthers(workspace, a, wanted)
	}
}

func (l *Limiter) fetch(workspace string, a *account, wanted int) {
	a.fetching = make(chan struct{})
	l.group.Go(func() error {
		message := borrower.Message{Workspace: workspace, Wanted: wanted}
		if l.sources.Agreed != nil {
			reply := l.borrowAgreed(message)
			l.mu.Lock()
			defer l.mu.Unlock()
			a.answered(reply, false, wanted)
			return nil
		}
		askedAt, reply, idle := l.borrow(message)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.addGrants(workspace, a, askedAt, reply)
		a.answered(reply, idle, wanted)
		return nil
	})
}

// answered records the reply to the message in flight, which asked for wanted tokens, and wakes the requests that wait for it.
// The caller holds the lock of the Limiter.
func (a *account) answered(reply borrower.Reply, idle bool, wanted int) {
	a.lendersIdle = idle
	a.partialGrant = 4*reply.Tokens() < wanted
	if len(reply.Grants) == 0 {
		a.denial = reply
		// RetryAt may have passed while the reply was on its way. The minimum keeps the waiting requests from
		// asking in a tight loop.
		a.denial.RetryAt = later(reply.RetryAt, timekeeper.Now().Add(minRetryInterval))
	}
	close(a.fetching)
	a.fetching = nil
}

// fetchFromOthers asks for what the other lenders have, in parallel with the messages to the current one.
func (l *Limiter) fetchFromOthers(workspace string, a *account, wanted int) {
	a.askingOthers = true
	l.group.Go(func() error {
		askedAt, reply, _ := l.borrow(borrower.Message{Workspace: workspace, Wanted: wanted, AskPeers: true})
		l.mu.Lock()
		defer l.mu.Unlock()
		l.addGrants(workspace, a, askedAt, reply)
		a.askingOthers = false
		if len(reply.Grants) == 0 {
			a.askOthersAt = reply.RetryAt
		}
		return nil
	})
}

// addGrants adds the leases granted by reply to a. The caller holds the lock.
func (l *Limiter) addGrants(workspace string, a *account, askedAt time.Time, reply borrower.Reply) {
	l.borrowed = l.borrowed || len(reply.Grants) > 0
	for _, grant := range reply.Grants {
		a.leases = a.leases.With(allocator.NewLease(askedAt, grant.Lender, grant.ID, grant.Tokens))
	}
	if l.sources.Fallback != nil && (len(reply.Grants) > 0 || reply.Exhausted) {
		a.fallback = a.fallback.WithContact(timekeeper.Now(), l.sources.Fallback(workspace).BesideLenders())
	}
}

// borrow asks the lenders in turn until one grants tokens or answers that the rate is exhausted. It also returns the
// time just before it asked that lender, at which the leases start, or zero if no lender gave such an answer. idle is set
// if all lenders answered that they do not lend yet.
func (l *Limiter) borrow(message borrower.Message) (askedAt time.Time, reply borrower.Reply, idle bool) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	lastReply := borrower.Reply{Reason: "no lender answered", RetryAt: timekeeper.Now().Add(noAnswerBackoff)}
	addresses := l.order(message.Workspace)
	idle = len(addresses) > 0
	if !l.hasBorrowed() {
		var found survey
		if addresses, found = l.surveyed(addresses); found.allStart {
			return time.Time{}, borrower.Reply{Reason: string(allocator.Starting), RetryAt: found.until}, true
		}
	}
	for i := range addresses {
		askedAt := timekeeper.Now()
		reply, err := l.send(ctx, addresses[i], message)
		if err != nil {
			idle = false
			continue
		}
		if reply.Tokens() > 0 || reply.Exhausted {
			return askedAt, reply, false
		}
		starting := reply.Reason == string(allocator.Starting)
		lastReply = reply
		if starting && i == 0 {
			// The survey includes the first lender, since only a probe is answered with the time from which a lender lends.
			// Until then neither it nor, if all start, any other is asked again.
			found := l.survey(addresses)
			if found.allStart {
				return time.Time{}, borrower.Reply{Reason: reply.Reason, RetryAt: found.until}, true
			}
			addresses = append(addresses[:1:1], first(addresses[1:], found.lending)...)
		}
		idle = idle && starting
	}
	return time.Time{}, lastReply, idle
}
