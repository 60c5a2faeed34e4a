package limiter

import (
	"context"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/timekeeper"
)

// Run reports spent tokens, returns what is not needed and drops idle accounts until ctx ends. Then it returns all
// leases.
func (d *Limiter) Run(ctx context.Context) error {
	flush, sweep := time.NewTicker(flushPeriod), time.NewTicker(sweepPeriod)
	defer flush.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return d.stop(context.WithoutCancel(ctx))
		case <-flush.C:
			d.settle(0)
			d.flush(ctx)
		case <-sweep.C:
			d.settle(returnTime)
			d.drop()
		}
	}
}

func (d *Limiter) stop(ctx context.Context) error {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	err := d.group.Wait()
	d.settle(2 * idleTime)
	d.flush(ctx)
	d.log.Info("leases returned", "reason", "the node is stopping")
	return err
}

// settle collects what is new for the lenders, and takes the leases back that end within left.
func (d *Limiter) settle(left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := timekeeper.Now()
	for name, a := range d.accounts {
		if a.holding.Empty() {
			continue
		}
		holding, settlements := a.holding.CollectReports(now, now.Add(left))
		a.holding = holding
		for _, s := range settlements {
			if len(d.reports) < reportsLimit {
				d.reports = append(d.reports, borrower.Report{Lender: s.Lender, Workspace: name, Report: s.Report})
			}
		}
	}
}

func (d *Limiter) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := timekeeper.Now()
	for name, a := range d.accounts {
		idle := a.holding.Empty() && a.asking == nil && !a.spreading && a.waiting == 0 && now.Sub(a.used) > idleTime
		if idle && d.shareFull(now, name, a) {
			delete(d.accounts, name)
		}
	}
}

// shareFull reports whether nothing is lost of the node's share when the account is forgotten. The caller holds
// the lock.
func (d *Limiter) shareFull(now time.Time, workspace string, a *account) bool {
	return d.sources.Fallback == nil || a.share == (allocator.FallbackBucket{}) || a.share.Full(now, d.division(workspace))
}

func (d *Limiter) flush(ctx context.Context) {
	d.mu.Lock()
	waiting := len(d.reports)
	d.mu.Unlock()
	if waiting == 0 {
		return
	}
	for _, address := range d.order("") {
		if _, err := d.send(ctx, address, borrower.Message{}); err == nil {
			return
		}
	}
	d.log.Warn("reports not taken", "reports", waiting, "reason", "no lender answered")
}

// send sends message with the reports that wait to the lender at address. Reports that may not have arrived are sent
// again, which does no harm.
func (d *Limiter) send(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	d.mu.Lock()
	message.Reports, d.reports = d.reports, nil
	d.mu.Unlock()
	reply, err := d.ask(ctx, address, message)
	if err == nil {
		return reply, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports = append(message.Reports, d.reports...)[:min(reportsLimit, len(message.Reports)+len(d.reports))]
	return reply, err
}
