package limiter

import (
	"context"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/timekeeper"
)

// Run reports spent tokens, returns tokens that are not needed and drops idle accounts until ctx ends. Then it returns
// all leases.
func (l *Limiter) Run(ctx context.Context) error {
	flush, sweep := time.NewTicker(flushInterval), time.NewTicker(sweepInterval)
	defer flush.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return l.stop(context.WithoutCancel(ctx))
		case <-flush.C:
			l.collectReports(0)
			l.flushReports(ctx)
		case <-sweep.C:
			if l.sources.Agreed != nil {
				l.probeLenders()
			}
			l.collectReports(returnBeforeEnd)
			l.dropIdle()
		}
	}
}

func (l *Limiter) stop(ctx context.Context) error {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	err := l.group.Wait()
	l.collectReports(2 * idleTimeout)
	l.flushReports(ctx)
	l.log.Info("leases returned", "reason", "the node is stopping")
	return err
}

// collectReports queues the new reports for the lenders, and gives back the leases that end within returnWithin.
func (l *Limiter) collectReports(returnWithin time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	for name, a := range l.accounts {
		if a.leases.Empty() {
			continue
		}
		leases, reports := a.leases.CollectReports(now, now.Add(returnWithin))
		a.leases = leases
		for _, report := range reports {
			if len(l.reports) < maxReports {
				l.reports = append(l.reports, borrower.Report{Lender: report.Lender, Workspace: name, Report: report.Report})
			}
		}
	}
}

func (l *Limiter) dropIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	for name, a := range l.accounts {
		idle := a.leases.Empty() && a.fetching == nil && !a.askingOthers && a.waiting == 0 && now.Sub(a.lastUsed) > idleTimeout
		if idle && l.fallbackFull(now, name, a) {
			delete(l.accounts, name)
		}
	}
}

// fallbackFull reports whether the account can be dropped without a change to the node's fallback quota, because its
// bucket is unused or full again. The caller holds the lock.
func (l *Limiter) fallbackFull(now time.Time, workspace string, a *account) bool {
	return l.sources.Fallback == nil || a.fallback == (allocator.FallbackBucket{}) || a.fallback.Full(now, l.fallbackQuota(workspace, a))
}

func (l *Limiter) flushReports(ctx context.Context) {
	l.mu.Lock()
	pending := len(l.reports)
	l.mu.Unlock()
	if pending == 0 {
		return
	}
	if l.sources.Agreed != nil {
		l.flushAgreed()
		return
	}
	for _, address := range l.order("") {
		if _, err := l.send(ctx, address, borrower.Message{}); err == nil {
			return
		}
	}
	l.log.Warn("reports not delivered", "reports", pending, "reason", "no lender answered")
}

// send sends message with the pending reports to the lender at address. Reports that may not have arrived are sent
// again, which does no harm.
func (l *Limiter) send(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	l.mu.Lock()
	message.Reports, l.reports = l.reports, nil
	l.mu.Unlock()
	reply, err := l.ask(ctx, address, message)
	if err == nil {
		return reply, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(message.Reports, l.reports...)[:min(maxReports, len(message.Reports)+len(l.reports))]
	return reply, err
}
