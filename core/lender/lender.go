// Package lender lends the quota that this process owns of each workspace's rate and burst to nodes. If its own quota
// is used up, it asks the other lenders on behalf of the node.
package lender

import (
	"context"
	"expvar"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/timekeeper"
)

const (
	// minBackoff and maxBackoff bound the time after which a borrower that got no tokens is asked to retry.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// flushInterval is the time between sends of queued reports to peers.
	flushInterval = 20 * time.Millisecond
	// sweepInterval is the time between removals of idle accounts.
	sweepInterval = time.Second
	// relayTimeout bounds a request to one peer. A new connection to a remote region takes four round trips.
	relayTimeout = 200 * time.Millisecond
	// totalRelayTimeout bounds the total time of the requests to peers that one message causes. They are sent in turn.
	totalRelayTimeout = 250 * time.Millisecond
	// peerBackoff is the time for which a peer is not asked after a failure.
	peerBackoff = time.Second
	// maxQueuedReports bounds the reports that wait for one peer.
	maxQueuedReports = 4096

	incarnationBase = 36
	reasonUnknown   = "workspace unknown"
)

var counters = expvar.NewMap("lend")

// Configuration supplies the configuration in force.
type Configuration interface {
	Configuration() configurer.Configuration
}

// Borrower sends messages to other lenders.
type Borrower interface {
	Borrow(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error)
}

// Dependencies are what a Lender needs. Lenders returns the names of all lenders. They must be the same on each lender,
// except for a short time after one has joined or left. Peers returns the addresses of the other lenders.
type Dependencies struct {
	Name          string
	Lenders       func() []string
	Peers         func() []string
	Configuration Configuration
	Borrower      Borrower
	Log           *slog.Logger
	// Agreed is set on nodes that lend what control processes have agreed on. Lenders and Peers are not used then.
	Agreed *Agreed
}

// Lender holds the accounts of the workspaces in use. It keeps the address of each lender whose grants it has relayed,
// to forward reports on them. It is safe for concurrent use.
type Lender struct {
	Dependencies

	incarnation string
	ready       time.Time

	mu        sync.Mutex
	right     allocator.AgreedRight
	lookedAt  time.Time
	resumedAt time.Time
	lastGrant uint64
	accounts  map[string]*account
	peers     map[string]*peer
	addresses map[string]string
}

// account is the ledger of a workspace. deniedUntil holds, by the address of a peer that denied tokens of the workspace,
// the time before which it is not asked again.
type account struct {
	ledger      allocator.Ledger
	deniedUntil map[string]time.Time
}

// peer is another lender. Its name and round-trip time are known after its first reply. After a failure it is not asked
// until unreachableUntil. reports holds those that wait to be sent to it.
type peer struct {
	name             string
	rtt              time.Duration
	unreachableUntil time.Time
	reports          []borrower.Report
}

var _ borrower.Lender = (*Lender)(nil)

// New returns a Lender that starts at now. Each start is a new incarnation, so reports on leases of a previous
// incarnation change nothing.
func New(now time.Time, dependencies Dependencies) *Lender {
	return &Lender{
		Dependencies: dependencies,
		incarnation:  dependencies.Name + "/" + strconv.FormatInt(now.UnixMicro(), incarnationBase),
		ready:        now.Add(allocator.LenderLeaseLifetime),
		accounts:     make(map[string]*account),
		peers:        make(map[string]*peer),
		addresses:    make(map[string]string),
	}
}

// peer returns the peer at address, and adds it if needed. The caller holds the lock.
func (l *Lender) peer(address string) *peer {
	found, ok := l.peers[address]
	if !ok {
		found = &peer{}
		l.peers[address] = found
	}
	return found
}

// Borrow implements borrower.Lender. It applies the reports of message and lends the tokens that it asks for.
func (l *Lender) Borrow(ctx context.Context, message borrower.Message) borrower.Reply {
	l.applyReports(message)
	if readyAt := l.readyAt(); message.Probe && timekeeper.Now().Before(readyAt) {
		return borrower.Reply{Lender: l.incarnation, Reason: string(allocator.Starting), RetryAt: readyAt}
	}
	if message.Probe {
		return borrower.Reply{Lender: l.incarnation}
	}
	if message.Workspace == "" {
		return borrower.Reply{}
	}
	workspace, ok := l.Configuration.Configuration().Workspace(message.Workspace)
	if !ok {
		return borrower.Reply{Reason: reasonUnknown, RetryAt: timekeeper.Now().Add(maxBackoff)}
	}
	if message.AskPeers && l.Agreed == nil {
		return l.askAllPeers(ctx, workspace, message.Wanted)
	}
	if l.Agreed != nil {
		return l.lendAgreed(workspace, message.Wanted)
	}
	reply := l.lend(workspace, message.Wanted)
	if reply.Tokens() > 0 || message.Relayed {
		return reply
	}
	return l.relay(ctx, workspace, message.Wanted, reply)
}

// lend lends from the quota of this lender.
func (l *Lender) lend(workspace configurer.Workspace, wanted int) borrower.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	l.updateRight(l.Configuration.Configuration(), now)
	quota := l.quota(workspace, now)
	account := l.account(workspace.Name, now, quota)
	l.lastGrant++
	ledger, answer := account.ledger.Lend(now, quota, wanted, l.lastGrant)
	account.ledger = ledger
	switch answer := answer.(type) {
	case allocator.Granted:
		counters.Add("tokens", int64(answer.Tokens))
		l.Log.Info("tokens lent", "workspace", workspace.Name, "wanted", wanted, "tokens", answer.Tokens,
			"left", answer.Remaining, "lease", answer.ID, "reason", "within the quota")
		grant := borrower.Grant{Lender: l.incarnation, ID: answer.ID, Tokens: answer.Tokens}
		return borrower.Reply{Lender: l.incarnation, Grants: []borrower.Grant{grant}}
	case allocator.Denied:
		counters.Add("short", 1)
		l.Log.Info("nothing lent", "workspace", workspace.Name, "wanted", wanted, "reason", answer.Reason)
		return borrower.Reply{
			Lender: l.incarnation, Reason: string(answer.Reason), Exhausted: answer.Reason != allocator.Starting,
			RetryAt: clampRetryAt(answer.Until, now),
		}
	}
	return borrower.Reply{}
}

// clampRetryAt returns retryAt, but at least minBackoff and at most maxBackoff after now.
func clampRetryAt(retryAt, now time.Time) time.Time {
	return now.Add(min(max(retryAt.Sub(now), minBackoff), maxBackoff))
}

// account returns the account of workspace, and adds it if needed. The caller holds the lock.
func (l *Lender) account(workspace string, now time.Time, quota allocator.Quota) *account {
	found, ok := l.accounts[workspace]
	if !ok {
		found = &account{ledger: allocator.NewLedger(l.ready, now, quota), deniedUntil: make(map[string]time.Time)}
		l.accounts[workspace] = found
	}
	return found
}

// applyReports applies the reports on leases of this lender and queues the others for their lenders. A report that
// another lender has relayed is not queued again.
func (l *Lender) applyReports(message borrower.Message) {
	configuration := l.Configuration.Configuration()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	l.updateRight(configuration, now)
	for _, report := range message.Reports {
		if report.Lender != l.incarnation {
			if owner, ok := l.peers[l.addresses[report.Lender]]; ok && !message.Relayed && len(owner.reports) < maxQueuedReports {
				owner.reports = append(owner.reports, report)
			}
			continue
		}
		account, ok := l.accounts[report.Workspace]
		if !ok {
			continue
		}
		workspace, _ := configuration.Workspace(report.Workspace)
		quota := l.quota(workspace, now)
		ledger, known := account.ledger.ApplyReport(now, quota, report.Report)
		account.ledger = ledger
		l.Log.Debug("lease report applied", "workspace", report.Workspace, "lease", report.ID, "spent", report.Spent,
			"returned", report.Returned, "known", known)
	}
}

// Run sends queued reports to peers and removes idle accounts until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	flush, sweep := time.NewTicker(flushInterval), time.NewTicker(sweepInterval)
	defer flush.Stop()
	defer sweep.Stop()
	ready := time.NewTimer(timekeeper.Until(l.readyAt()))
	defer ready.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ready.C:
			l.Log.Info("lending starts", "lender", l.incarnation, "reason", "leases of the previous incarnation have expired")
		case <-flush.C:
			l.watch(timekeeper.Now())
			l.flush(ctx)
		case <-sweep.C:
			l.sweep()
		}
	}
}

// sweep removes the accounts whose ledger equals a new one.
func (l *Lender) sweep() {
	configuration := l.Configuration.Configuration()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	for name, account := range l.accounts {
		workspace, _ := configuration.Workspace(name)
		quota := l.quota(workspace, now)
		if l.Agreed != nil && quota.Burst == 0 && workspace.Burst > 0 {
			// The right to lend may come back. A new ledger would then lend the whole burst, which this one may have lent just before.
			continue
		}
		if account.ledger.Idle(now, quota) {
			delete(l.accounts, name)
		}
	}
}

// readyAt returns when this lender lends.
func (l *Lender) readyAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}
