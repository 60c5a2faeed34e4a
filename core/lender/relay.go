package lender

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/allotter"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/exchanger"
	"samphiremount.example/core/timekeeper"
)

// relay asks the peers in turn on behalf of a node, until one lends. The lease is then between that peer and the node:
// this process holds no part of it. Own is what this process answered.
func (l *Lender) relay(
	ctx context.Context, workspace configurer.Workspace, wanted int, own exchanger.Reply,
) exchanger.Reply {
	ctx, cancel := context.WithTimeout(ctx, relaysLimit)
	defer cancel()
	combined := own
	for _, address := range l.owners(workspace) {
		reply := l.ask(ctx, address, workspace.Name, wanted)
		if reply.Tokens() > 0 {
			return reply
		}
		combined.Used = combined.Used && reply.Used
		if !reply.Used && own.Used || combined.Reason == string(allotter.Unowned) {
			combined.Reason = reply.Reason
		}
		if reply.Again.Before(combined.Again) {
			combined.Again = reply.Again
		}
	}
	return combined
}

// spread asks all peers at once for a share of wanted, for a node whose workspace needs more than the own part.
func (l *Lender) spread(ctx context.Context, workspace configurer.Workspace, wanted int) exchanger.Reply {
	owners := l.owners(workspace)
	replies := make([]exchanger.Reply, len(owners))
	var group errgroup.Group
	for i, address := range owners {
		group.Go(func() error {
			replies[i] = l.ask(ctx, address, workspace.Name, 1+wanted/len(owners))
			return nil
		})
	}
	_ = group.Wait()
	combined := exchanger.Reply{Lender: l.life, Again: timekeeper.Now().Add(maxPause)}
	for _, reply := range replies {
		combined.Loans = append(combined.Loans, reply.Loans...)
		if len(reply.Loans) == 0 && reply.Again.Before(combined.Again) {
			combined.Again = reply.Again
		}
	}
	return combined
}

// owners returns the addresses of the peers that own a part of workspace, and of those whose names are not known yet, in
// the order of how long their answers take.
func (l *Lender) owners(workspace configurer.Workspace) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var owners []string
	lenders := l.Lenders()
	for _, address := range l.Peers() {
		name := l.peer(address).name
		if name == "" || allotter.Divide(workspace, lenders, name).Burst > 0 {
			owners = append(owners, address)
		}
	}
	slices.SortStableFunc(owners, func(a, b string) int { return cmp.Compare(l.peer(a).delay, l.peer(b).delay) })
	return owners
}

// ask asks one peer, unless what it last said or its silence still holds.
func (l *Lender) ask(ctx context.Context, address, workspace string, wanted int) exchanger.Reply {
	short, silent := l.peerState(address, workspace)
	now := timekeeper.Now()
	if now.Before(silent) {
		return exchanger.Reply{Reason: "lender " + address + " is silent", Again: now.Add(maxPause)}
	}
	if now.Before(short) {
		return exchanger.Reply{Used: true, Reason: string(allotter.Exhausted), Again: short}
	}
	ctx, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	message := exchanger.Message{Workspace: workspace, Wanted: wanted, Relayed: true}
	reply, err := l.Borrower.Borrow(ctx, address, message)
	counters.Add("relayed", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.peer(address).silent = timekeeper.Now().Add(peerPause)
		l.Log.Warn("lender silent", "address", address, "workspace", workspace, "reason", err)
		return exchanger.Reply{Reason: "lender " + address + " is silent", Again: now.Add(maxPause)}
	}
	l.peer(address).name, _, _ = strings.Cut(reply.Lender, "/")
	l.peer(address).delay = (l.peer(address).delay*7 + timekeeper.Since(now)) / 8
	if reply.Tokens() > 0 {
		l.homes[reply.Lender] = address
		l.Log.Info("loan relayed", "workspace", workspace, "lender", reply.Lender, "tokens", reply.Tokens(),
			"reason", "the own part is used up")
		return reply
	}
	if account, ok := l.accounts[workspace]; ok && reply.Used {
		account.short[address] = reply.Again
	}
	return reply
}

func (l *Lender) peerState(address, workspace string) (short, silent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account, ok := l.accounts[workspace]; ok {
		short = account.short[address]
	}
	return short, l.peer(address).silent
}

// flush sends the reports that wait for peers. Reports that a peer does not get are lost: it counts their leases until
// they end.
func (l *Lender) flush(ctx context.Context) {
	for _, address := range l.Peers() {
		l.mu.Lock()
		reports := l.peer(address).reports
		l.peer(address).reports = nil
		l.mu.Unlock()
		if len(reports) == 0 {
			continue
		}
		sending, cancel := context.WithTimeout(ctx, relayLimit)
		_, err := l.Borrower.Borrow(sending, address, exchanger.Message{Relayed: true, Reports: reports})
		cancel()
		if err != nil {
			l.Log.Warn("reports lost", "address", address, "reports", len(reports), "reason", err)
		}
	}
}
