package limiter

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/borrower"
	"samphiremount.example/core/timekeeper"
)

// silence is until when a process that did not answer is avoided, and for how long it was the last time.
type silence struct {
	until time.Time
	pause time.Duration
}

// after returns the silence after one more question at now went without an answer.
func (s silence) after(now time.Time) silence {
	pause := min(max(2*s.pause, silentPause), maxSilentPause)
	return silence{until: now.Add(pause), pause: pause}
}

// order returns whom to ask for tokens of workspace. Lenders that were silent lately come last. If there are any, peers are
// asked after the first other lender.
//
// The load pattern that it answers: some nodes are cut off from all lenders for seconds while they still reach other nodes. The
// even parts of the rate that they have by themselves do not match what their callers ask for.
func (d *Limiter) order(workspace string) []string {
	addresses := slices.Clone(d.sources.Lenders(workspace))
	d.mu.Lock()
	defer d.mu.Unlock()
	avoided := d.avoided(timekeeper.Now())
	slices.SortStableFunc(addresses, func(a, b string) int {
		return cmp.Compare(btoi(avoided(a)), btoi(avoided(b)))
	})
	if d.sources.Peers == nil || len(addresses) == 0 || !avoided(addresses[len(addresses)-1]) {
		return addresses
	}
	first := 1 - btoi(avoided(addresses[0]))
	return slices.Insert(addresses, first, slices.DeleteFunc(d.sources.Peers(), avoided)...)
}

// avoided returns the question whether an address was silent so lately that others come first at now. The caller holds the
// lock, also while it asks.
func (d *Limiter) avoided(now time.Time) func(address string) bool {
	return func(address string) bool { return now.Before(d.silent[address].until) }
}

func btoi(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Proxy implements exchanger.Passer for nodes that reach no lender: it asks those that this node reaches.
func (d *Limiter) Proxy(ctx context.Context, message borrower.Message) (borrower.Reply, error) {
	if message.Proxied {
		return borrower.Reply{}, errors.New("the message was passed before")
	}
	message.Proxied = true
	for _, address := range d.answering(message.Workspace) {
		if reply, err := d.ask(ctx, address, message); err == nil {
			counters.Add("passed", 1)
			return reply, nil
		}
	}
	return borrower.Reply{}, errors.New("this node reaches no lender either")
}

// answering returns the lenders of workspace that were not silent lately.
func (d *Limiter) answering(workspace string) []string {
	addresses := slices.Clone(d.sources.Lenders(workspace))
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(addresses, d.avoided(timekeeper.Now()))
}

// ask sends message to address, and notes whether that answers.
func (d *Limiter) ask(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	counters.Add("messages", 1)
	reply, err := d.borrower.Borrow(ctx, address, message)
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.silent[address]
	if err == nil {
		if known {
			d.log.Info("lender answers again", "address", address)
		}
		delete(d.silent, address)
		return reply, nil
	}
	if !known {
		d.log.Warn("lender failed", "address", address, "reason", err.Error())
	}
	d.silent[address] = before.after(timekeeper.Now())
	return reply, errors.Wrap(err, "ask for tokens")
}
