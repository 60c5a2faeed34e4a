package drawer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/exchanger"
)

// Run reports spent tokens, returns what is not needed and drops idle accounts until ctx ends. Then it returns all
// leases.
func (d *Drawer) Run(ctx context.Context) error {
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

func (d *Drawer) stop(ctx context.Context) error {
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
func (d *Drawer) settle(left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for name, a := range d.accounts {
		if a.holding.Empty() {
			continue
		}
		holding, settlements := a.holding.Settle(now, now.Add(left))
		a.holding = holding
		for _, s := range settlements {
			if len(d.reports) < reportsLimit {
				d.reports = append(d.reports, exchanger.Report{Lender: s.Lender, Workspace: name, Report: s.Report})
			}
		}
	}
}

func (d *Drawer) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for name, a := range d.accounts {
		if a.holding.Empty() && a.asking == nil && !a.spreading && a.waiting == 0 && now.Sub(a.used) > idleTime {
			delete(d.accounts, name)
		}
	}
}

func (d *Drawer) flush(ctx context.Context) {
	d.mu.Lock()
	waiting := len(d.reports)
	d.mu.Unlock()
	if waiting == 0 {
		return
	}
	if _, err := d.send(ctx, exchanger.Message{}); err != nil {
		d.log.Warn("reports not taken", "reports", waiting, "reason", err)
	}
}

var errNoLender = errors.New("no lender is known")

// send sends message with the reports that wait to the current lender, and turns to the next one if it fails. Reports
// that may not have arrived are sent again, which does no harm.
func (d *Drawer) send(ctx context.Context, message exchanger.Message) (exchanger.Reply, error) {
	d.mu.Lock()
	if d.current != 0 && time.Now().After(d.home) {
		d.current = 0
	}
	current := d.current
	addresses := d.addresses()
	if len(addresses) == 0 {
		d.mu.Unlock()
		return exchanger.Reply{}, errNoLender
	}
	address := addresses[current%len(addresses)]
	message.Reports, d.reports = d.reports, nil
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	counters.Add("messages", 1)
	reply, err := d.borrower.Borrow(ctx, address, message)
	if err == nil {
		return reply, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports = append(message.Reports, d.reports...)[:min(reportsLimit, len(message.Reports)+len(d.reports))]
	if d.current == current {
		d.current = (current + 1) % len(addresses)
		d.home = time.Now().Add(homePause)
		d.log.Warn("lender failed", "address", address, "next", addresses[d.current], "reason", err.Error())
	}
	return reply, err
}
