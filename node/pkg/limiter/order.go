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

// backoff is the time until which a process that did not answer is avoided, and the delay that led to it.
type backoff struct {
	until time.Time
	delay time.Duration
}

// next returns the backoff after one more message was not answered at now.
func (b backoff) next(now time.Time) backoff {
	delay := min(max(2*b.delay, minSilentBackoff), maxSilentBackoff)
	return backoff{until: now.Add(delay), delay: delay}
}

// order returns the addresses to ask for tokens of workspace. Lenders that failed to answer recently come last, and before
// them those that do not lend yet. If any failed, peers are asked too: right after the first lender, or before all lenders
// if each of them failed to answer.
//
// The peers are for nodes that are partitioned from all lenders for seconds while they still reach other nodes. The
// fallback quotas, which divide the rate evenly, do not match what the callers of each node ask for.
func (l *Limiter) order(workspace string) []string {
	addresses := slices.Clone(l.sources.Lenders(workspace))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	avoided := l.avoided(now)
	place := func(address string) int { return 2*btoi(avoided(address)) + btoi(now.Before(l.readyAt[address])) }
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(place(a), place(b)) })
	if l.sources.Peers == nil || len(addresses) == 0 || !avoided(addresses[len(addresses)-1]) {
		return addresses
	}
	position := 1 - btoi(avoided(addresses[0]))
	return slices.Insert(addresses, position, slices.DeleteFunc(l.sources.Peers(), avoided)...)
}

// avoided returns a function that reports whether an address failed to answer so recently that others are preferred at
// now. The caller holds the lock, also while it calls that function.
func (l *Limiter) avoided(now time.Time) func(address string) bool {
	return func(address string) bool { return now.Before(l.backoffs[address].until) }
}

func btoi(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Proxy implements borrower.Proxier for nodes that reach no lender: it sends message to a lender that this node
// reaches.
func (l *Limiter) Proxy(ctx context.Context, message borrower.Message) (borrower.Reply, error) {
	if message.Proxied {
		return borrower.Reply{}, errors.New("the message was already proxied")
	}
	message.Proxied = true
	if l.sources.Agreed != nil {
		return l.proxyAgreed(ctx, message), nil
	}
	for _, address := range l.responsive(message.Workspace) {
		if reply, err := l.ask(ctx, address, message); err == nil {
			counters.Add("passed", 1)
			return reply, nil
		}
	}
	return borrower.Reply{}, errors.New("this node reaches no lender either")
}

// responsive returns the lenders of workspace that did not fail to answer recently.
func (l *Limiter) responsive(workspace string) []string {
	addresses := slices.Clone(l.sources.Lenders(workspace))
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(addresses, l.avoided(timekeeper.Now()))
}

// ask sends message to address and records whether it was answered.
func (l *Limiter) ask(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, lenderTimeout)
	defer cancel()
	counters.Add("messages", 1)
	reply, err := l.borrower.Borrow(ctx, address, message)
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.backoffs[address]
	if err == nil {
		if known {
			l.log.Info("lender answers again", "address", address)
		}
		delete(l.backoffs, address)
		return reply, nil
	}
	if !known {
		l.log.Warn("lender failed", "address", address, "reason", err.Error())
	}
	l.backoffs[address] = before.next(timekeeper.Now())
	return reply, errors.Wrap(err, "ask for tokens")
}
