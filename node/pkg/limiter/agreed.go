package limiter

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/borrower"
	"samphiremount.example/core/timekeeper"
)

const (
	// objectiveShare is the part of its objective for which a request waits for a token of agreed lenders, and
	// minAgreedTimeout the least time. That covers a denial of a near owner and a message of 40 ms to another region and back,
	// twice over: with less, busy VMs would turn requests away that an owner has a token for.
	objectiveShare   = 0.1
	minAgreedTimeout = 100 * time.Millisecond
	// A lender is given patienceFactor times its usual round-trip time before the next one is asked in parallel, within
	// minPatience and maxPatience. The latter holds for a lender that has not answered yet.
	patienceFactor = 3
	minPatience    = 10 * time.Millisecond
	maxPatience    = 50 * time.Millisecond
	// probeInterval is the least time between two probes of a lender that answers, and silentProbeInterval between those of one
	// that does not. Probes keep the connections open, since a new one to another region takes longer than a request waits for a
	// token. probeSpacing keeps a node to 5 probes a second, however many lenders there are.
	probeInterval       = 5 * time.Second
	probeSpacing        = 200 * time.Millisecond
	silentProbeInterval = time.Second
)

// Agreed describes lenders that control processes have agreed on. The node asks the owners of a workspace by itself; they do
// not relay messages. Addresses returns the addresses of all lenders by name.
type Agreed struct {
	Addresses func() map[string]string
}

// contact is what this process knows of one lender: its round-trip time and when it was last probed.
type contact struct {
	rtt      time.Duration
	probedAt time.Time
}

// agreedTimeout returns how long a request with the objective and the remaining time waits for a token.
func agreedTimeout(objective, remaining time.Duration) time.Duration {
	timeout := acquireTimeout
	if objective > 0 {
		timeout = min(timeout, max(minAgreedTimeout, time.Duration(objectiveShare*float64(objective))))
	}
	return max(min(timeout, remaining), 0)
}

// asked is the result of one message to a lender.
type asked struct {
	reply borrower.Reply
	err   error
}

// borrowAgreed asks the owners of the workspace for tokens, the next one as soon as one denies them or is silent for longer
// than usual. Owners that are known to be silent are skipped; if all are, peers are asked to pass the message on. Grants that
// arrive after the first are kept too.
func (l *Limiter) borrowAgreed(message borrower.Message) borrower.Reply {
	owners, peers := l.responsiveOwners(message.Workspace)
	addresses := slices.Concat(owners, peers)
	results := make(chan asked, len(addresses))
	next, pending, denied := 0, 0, 0
	combined := borrower.Reply{Reason: "no lender answered", RetryAt: timekeeper.Now().Add(noAnswerBackoff)}
	for next < len(addresses) || pending > 0 {
		var patience <-chan time.Time
		if next < len(addresses) {
			address := addresses[next]
			l.startAsking(address, message, next >= len(owners), results)
			patience = time.After(l.patience(address))
			next, pending = next+1, pending+1
		}
		select {
		case result := <-results:
			pending--
			if result.reply.Tokens() > 0 {
				return result.reply
			}
			if result.err == nil {
				denied += btoi(result.reply.Exhausted)
				combined = combineDenials(combined, result.reply)
			}
		case <-patience:
			l.avoid(addresses[next-1])
		}
	}
	combined.Exhausted = len(peers) == 0 && denied > 0 && denied == len(l.sources.Lenders(message.Workspace))
	return combined
}

// combineDenials returns the denial of several lenders, of which the one that can lend first says when to ask again.
func combineDenials(combined, reply borrower.Reply) borrower.Reply {
	if combined.Lender == "" || reply.RetryAt.Before(combined.RetryAt) {
		return reply
	}
	return combined
}

// responsiveOwners returns the owners of workspace that answer, best first, and if there are none, peers.
func (l *Limiter) responsiveOwners(workspace string) (owners, peers []string) {
	owners = slices.Clone(l.sources.Lenders(workspace))
	all := len(owners)
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := func(address string) bool { _, known := l.backoffs[address]; return known }
	owners = slices.DeleteFunc(owners, silent)
	if len(owners) == 0 && all > 0 && l.sources.Peers != nil {
		// A peer that was silent is not probed, so it is asked again once its time to be avoided is over.
		now := timekeeper.Now()
		peers = slices.DeleteFunc(l.sources.Peers(), func(address string) bool { return now.Before(l.backoffs[address].until) })
	}
	return owners, peers
}

// startAsking sends message to a lender, or to a peer that passes it on. The grants of the reply are added as leases even if
// nobody waits for it any more.
func (l *Limiter) startAsking(address string, message borrower.Message, isPeer bool, results chan<- asked) {
	message.Relayed, message.AskPeers = true, isPeer
	l.group.Go(func() error {
		at := timekeeper.Now()
		reply, err := l.askAgreed(address, message)
		if err == nil {
			l.mu.Lock()
			l.addGrants(message.Workspace, l.account(message.Workspace), at, reply)
			l.mu.Unlock()
		}
		results <- asked{reply, err}
		return nil
	})
}

// askAgreed sends message with the pending reports for the lender at address, and measures the round-trip time. Reports that
// do not arrive are dropped: the lender counts their tokens as unspent until their leases end.
func (l *Limiter) askAgreed(address string, message borrower.Message) (borrower.Reply, error) {
	if !message.AskPeers {
		// A peer passes the message on, without its reports.
		message.Reports = append(message.Reports, l.takeReports(address)...)
	}
	at := timekeeper.Now()
	reply, err := l.ask(context.Background(), address, message)
	now := timekeeper.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		counters.Add("reports_lost", int64(len(message.Reports)))
		return reply, err
	}
	if !message.AskPeers {
		known := l.contacts[address]
		if known.rtt == 0 {
			known.rtt = now.Sub(at)
		}
		l.contacts[address] = contact{rtt: (3*known.rtt + now.Sub(at)) / 4, probedAt: now}
	}
	// Counted from the question, since the lender lends to others while its answer is on its way.
	reply.RetryAt = reply.RetryAt.Add(at.Sub(now))
	return reply, nil
}

// patience returns how long the lender at address may take before another one is asked too.
func (l *Limiter) patience(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.contacts[address]
	if found.rtt == 0 {
		return maxPatience
	}
	return min(max(patienceFactor*found.rtt, minPatience), maxPatience)
}

// avoid records that the lender at address takes longer than usual, so that no request of any workspace waits for it until it
// has answered again.
func (l *Limiter) avoid(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.backoffs[address]; !known {
		l.log.Info("lender slow", "address", address)
		l.backoffs[address] = backoff{until: timekeeper.Now().Add(lenderTimeout)}
	}
}

// account returns the account of workspace, and adds it if needed. The caller holds the lock.
func (l *Limiter) account(workspace string) *account {
	found, ok := l.accounts[workspace]
	if !ok {
		found = &account{lastUsed: timekeeper.Now()}
		l.accounts[workspace] = found
	}
	return found
}

// fetchAgreed asks the other owners for what they have, each for a part, for a workspace whose nearest owner has much less than
// this node needs.
func (l *Limiter) fetchAgreed(workspace string, a *account, wanted int) {
	a.askingOthers = true
	l.group.Go(func() error {
		owners, _ := l.responsiveOwners(workspace)
		others := owners[min(1, len(owners)):]
		results := make(chan asked, len(others))
		for _, address := range others {
			l.startAsking(address, borrower.Message{Workspace: workspace, Wanted: 1 + wanted/len(others)}, false, results)
		}
		granted := 0
		for range others {
			granted += (<-results).reply.Tokens()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		a.askingOthers = false
		if granted == 0 {
			a.askOthersAt = timekeeper.Now().Add(noAnswerBackoff)
		}
		return nil
	})
}

// proxyAgreed passes message of a node that reaches no owner of the workspace to the owners that this node reaches.
func (l *Limiter) proxyAgreed(ctx context.Context, message borrower.Message) borrower.Reply {
	message.Relayed, message.AskPeers = true, false
	owners, _ := l.responsiveOwners(message.Workspace)
	combined := borrower.Reply{Reason: "no lender answered", RetryAt: timekeeper.Now().Add(noAnswerBackoff)}
	for _, address := range owners {
		reply, err := l.ask(ctx, address, message)
		if err != nil {
			continue
		}
		counters.Add("passed", 1)
		if reply.Tokens() > 0 {
			return reply
		}
		combined = combineDenials(combined, reply)
	}
	return combined
}

// takeReports removes and returns the pending reports for the lender at address.
func (l *Limiter) takeReports(address string) []borrower.Report {
	addresses := l.sources.Agreed.Addresses()
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken, others []borrower.Report
	for _, report := range l.reports {
		if addresses[lenderName(report.Lender)] == address {
			taken = append(taken, report)
			continue
		}
		others = append(others, report)
	}
	l.reports = others
	return taken
}

// lenderName returns the name of the lender with the incarnation.
func lenderName(incarnation string) string {
	return incarnation[:max(0, strings.LastIndexByte(incarnation, '/'))]
}

// flushAgreed sends the pending reports to their lenders, at once and only to those that answer.
func (l *Limiter) flushAgreed() {
	addresses := l.sources.Agreed.Addresses()
	l.mu.Lock()
	var flushed []string
	for _, report := range l.reports {
		address := addresses[lenderName(report.Lender)]
		if _, silent := l.backoffs[address]; address != "" && !silent && !slices.Contains(flushed, address) {
			flushed = append(flushed, address)
		}
	}
	l.mu.Unlock()
	var group errgroup.Group
	for _, address := range flushed {
		group.Go(func() error {
			_, _ = l.askAgreed(address, borrower.Message{Relayed: true})
			return nil
		})
	}
	_ = group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	// What is left is for lenders that are silent or not known.
	l.reports = slices.DeleteFunc(l.reports, func(report borrower.Report) bool {
		address := addresses[lenderName(report.Lender)]
		// A lender that only took long gets its reports with the next message.
		return address == "" || l.backoffs[address].delay > 0
	})
}

// probeLenders asks each lender that was not in contact for a while whether it lends, so that connections are open and silent
// lenders known before a request needs a token.
func (l *Limiter) probeLenders() {
	addresses := l.sources.Agreed.Addresses()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := timekeeper.Now()
	for _, address := range addresses {
		known := l.contacts[address]
		interval := max(probeInterval, time.Duration(len(addresses))*probeSpacing)
		if _, silent := l.backoffs[address]; silent {
			interval = silentProbeInterval
		}
		if now.Sub(known.probedAt) < interval {
			continue
		}
		known.probedAt = now
		l.contacts[address] = known
		l.group.Go(func() error {
			_, _ = l.askAgreed(address, borrower.Message{Probe: true})
			return nil
		})
	}
}
