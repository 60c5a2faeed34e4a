// Package lender lends a control process's part of each workspace's rate and burst to nodes, and asks the other lenders
// where its own part is used up.
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
	minBackoff    = 25 * time.Millisecond
	maxBackoff    = 100 * time.Millisecond
	flushInterval = 20 * time.Millisecond
	sweepInterval = time.Second
	// relayTimeout bounds one question to a peer, and relaysLimit all that one message causes. A new connection to another
	// region takes four ways there and back.
	relayTimeout      = 200 * time.Millisecond
	totalRelayTimeout = 250 * time.Millisecond
	peerBackoff       = time.Second
	maxQueuedReports  = 4096

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

// Dependencies are what a Lender needs. Lenders returns the names of all lenders, alike on each of them but for moments
// after one joined or left. Peers returns the addresses of the others.
type Dependencies struct {
	Name          string
	Lenders       func() []string
	Peers         func() []string
	Configuration Configuration
	Borrower      Borrower
	Log           *slog.Logger
}

// Lender holds the accounts of the workspaces that are in use.
type Lender struct {
	Dependencies

	incarnation string
	ready       time.Time

	mu        sync.Mutex
	lastGrant uint64
	accounts  map[string]*account
	peers     map[string]*peer
	addresses map[string]string
}

// account is a workspace's ledger, and until when each peer said that it has nothing of the workspace.
type account struct {
	ledger      allocator.Ledger
	deniedUntil map[string]time.Time
}

// peer is another lender: its name once it has answered and how long its answers take, until when it is left alone after
// a failure, and the reports that wait for it.
type peer struct {
	name             string
	rtt              time.Duration
	unreachableUntil time.Time
	reports          []borrower.Report
}

var _ borrower.Lender = (*Lender)(nil)

// New returns a Lender that starts at now. Each start has another identity, so that reports about leases of an earlier
// one change nothing.
func New(now time.Time, dependencies Dependencies) *Lender {
	return &Lender{
		Dependencies: dependencies,
		incarnation:  dependencies.Name + "/" + strconv.FormatInt(now.UnixMicro(), incarnationBase),
		ready:        now.Add(allocator.LenderLeaseTTL),
		accounts:     make(map[string]*account),
		peers:        make(map[string]*peer),
		addresses:    make(map[string]string),
	}
}

// peer returns what is known of the lender at address. The caller holds the lock.
func (l *Lender) peer(address string) *peer {
	known, ok := l.peers[address]
	if !ok {
		known = &peer{}
		l.peers[address] = known
	}
	return known
}

// Borrow implements exchanger.Lender.
func (l *Lender) Borrow(ctx context.Context, message borrower.Message) borrower.Reply {
	l.applyReports(message)
	if message.Workspace == "" {
		return borrower.Reply{}
	}
	workspace, ok := l.Configuration.Configuration().Workspace(message.Workspace)
	if !ok {
		return borrower.Reply{Reason: reasonUnknown, RetryAt: timekeeper.Now().Add(maxBackoff)}
	}
	if message.AskPeers {
		return l.askAllPeers(ctx, workspace, message.Wanted)
	}
	reply := l.lend(workspace, message.Wanted)
	if reply.Tokens() > 0 || message.Relayed {
		return reply
	}
	return l.relay(ctx, workspace, message.Wanted, reply)
}

// lend lends of the own part.
func (l *Lender) lend(workspace configurer.Workspace, wanted int) borrower.Reply {
	part := allocator.QuotaFor(workspace, l.Lenders(), l.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	account := l.account(workspace.Name, now, part)
	l.lastGrant++
	ledger, answer := account.ledger.Lend(now, part, wanted, l.lastGrant)
	account.ledger = ledger
	switch answer := answer.(type) {
	case allocator.Granted:
		counters.Add("tokens", int64(answer.Tokens))
		l.Log.Info("tokens lent", "workspace", workspace.Name, "wanted", wanted, "tokens", answer.Tokens,
			"left", answer.Remaining, "lease", answer.ID, "reason", "within the part")
		loan := borrower.Grant{Lender: l.incarnation, ID: answer.ID, Tokens: answer.Tokens}
		return borrower.Reply{Lender: l.incarnation, Grants: []borrower.Grant{loan}}
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

func clampRetryAt(again, now time.Time) time.Time {
	return now.Add(min(max(again.Sub(now), minBackoff), maxBackoff))
}

func (l *Lender) account(workspace string, now time.Time, part allocator.Quota) *account {
	found, ok := l.accounts[workspace]
	if !ok {
		found = &account{ledger: allocator.NewLedger(l.ready, now, part), deniedUntil: make(map[string]time.Time)}
		l.accounts[workspace] = found
	}
	return found
}

// applyReports takes the reports about own leases and keeps the others for their lenders.
func (l *Lender) applyReports(message borrower.Message) {
	configuration := l.Configuration.Configuration()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	for _, report := range message.Reports {
		if report.Lender != l.incarnation {
			if home, ok := l.peers[l.addresses[report.Lender]]; ok && !message.Relayed && len(home.reports) < maxQueuedReports {
				home.reports = append(home.reports, report)
			}
			continue
		}
		account, ok := l.accounts[report.Workspace]
		if !ok {
			continue
		}
		workspace, _ := configuration.Workspace(report.Workspace)
		part := allocator.QuotaFor(workspace, l.Lenders(), l.Name)
		ledger, known := account.ledger.ApplyReport(now, part, report.Report)
		account.ledger = ledger
		l.Log.Debug("lease settled", "workspace", report.Workspace, "lease", report.ID, "spent", report.Spent,
			"returned", report.Returned, "known", known)
	}
}

// Run sends reports on and drops idle accounts until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	flush, sweep := time.NewTicker(flushInterval), time.NewTicker(sweepInterval)
	defer flush.Stop()
	defer sweep.Stop()
	ready := time.NewTimer(timekeeper.Until(l.ready))
	defer ready.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ready.C:
			l.Log.Info("lending starts", "lender", l.incarnation, "reason", "leases of an earlier start have ended")
		case <-flush.C:
			l.flush(ctx)
		case <-sweep.C:
			l.sweep()
		}
	}
}

// sweep forgets the accounts that a new one would equal.
func (l *Lender) sweep() {
	configuration := l.Configuration.Configuration()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	for name, account := range l.accounts {
		workspace, _ := configuration.Workspace(name)
		if account.ledger.Idle(now, allocator.QuotaFor(workspace, l.Lenders(), l.Name)) {
			delete(l.accounts, name)
		}
	}
}
