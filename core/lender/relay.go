package lender

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/timekeeper"
)

// relay asks the peers in turn on behalf of a node, until one lends. The lease is then between that peer and the node;
// this process keeps no record of it. own is the reply of this process itself.
func (l *Lender) relay(
	ctx context.Context, workspace configurer.Workspace, wanted int, own borrower.Reply,
) borrower.Reply {
	ctx, cancel := context.WithTimeout(ctx, totalRelayTimeout)
	defer cancel()
	combined := own
	for _, address := range l.owners(workspace) {
		reply := l.askPeer(ctx, address, workspace.Name, wanted)
		if reply.Tokens() > 0 {
			return reply
		}
		combined.Exhausted = combined.Exhausted && reply.Exhausted
		if !reply.Exhausted && own.Exhausted || combined.Reason == string(allocator.Unowned) {
			combined.Reason = reply.Reason
		}
		if reply.RetryAt.Before(combined.RetryAt) {
			combined.RetryAt = reply.RetryAt
		}
	}
	return combined
}

// askAllPeers asks all peers concurrently, each for a share of wanted, for a node whose workspace needs more than the
// quota of this lender.
func (l *Lender) askAllPeers(ctx context.Context, workspace configurer.Workspace, wanted int) borrower.Reply {
	owners := l.owners(workspace)
	replies := make([]borrower.Reply, len(owners))
	var group errgroup.Group
	for i, address := range owners {
		group.Go(func() error {
			replies[i] = l.askPeer(ctx, address, workspace.Name, 1+wanted/len(owners))
			return nil
		})
	}
	_ = group.Wait()
	combined := borrower.Reply{Lender: l.incarnation, RetryAt: timekeeper.Now().Add(maxBackoff)}
	for _, reply := range replies {
		combined.Grants = append(combined.Grants, reply.Grants...)
		if len(reply.Grants) == 0 && reply.RetryAt.Before(combined.RetryAt) {
			combined.RetryAt = reply.RetryAt
		}
	}
	return combined
}

// owners returns the addresses of the peers that own a quota of workspace, and of those whose names are not known yet,
// by increasing round-trip time.
func (l *Lender) owners(workspace configurer.Workspace) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var owners []string
	lenders := l.Lenders()
	for _, address := range l.Peers() {
		name := l.peer(address).name
		if name == "" || allocator.QuotaFor(workspace, lenders, name).Burst > 0 {
			owners = append(owners, address)
		}
	}
	slices.SortStableFunc(owners, func(a, b string) int { return cmp.Compare(l.peer(a).rtt, l.peer(b).rtt) })
	return owners
}

// askPeer asks one peer for tokens, unless it has recently denied them or failed.
func (l *Lender) askPeer(ctx context.Context, address, workspace string, wanted int) borrower.Reply {
	deniedUntil, unreachableUntil := l.peerState(address, workspace)
	now := timekeeper.Now()
	if now.Before(unreachableUntil) {
		return borrower.Reply{Reason: "lender " + address + " is silent", RetryAt: now.Add(maxBackoff)}
	}
	if now.Before(deniedUntil) {
		return borrower.Reply{Exhausted: true, Reason: string(allocator.Exhausted), RetryAt: deniedUntil}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	message := borrower.Message{Workspace: workspace, Wanted: wanted, Relayed: true}
	reply, err := l.Borrower.Borrow(ctx, address, message)
	counters.Add("relayed", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.peer(address).unreachableUntil = timekeeper.Now().Add(peerBackoff)
		l.Log.Warn("lender silent", "address", address, "workspace", workspace, "reason", err)
		return borrower.Reply{Reason: "lender " + address + " is silent", RetryAt: now.Add(maxBackoff)}
	}
	l.peer(address).name, _, _ = strings.Cut(reply.Lender, "/")
	l.peer(address).rtt = (l.peer(address).rtt*7 + timekeeper.Since(now)) / 8
	if reply.Tokens() > 0 {
		l.addresses[reply.Lender] = address
		l.Log.Info("loan relayed", "workspace", workspace, "lender", reply.Lender, "tokens", reply.Tokens(),
			"reason", "the lender's own quota is used up")
		return reply
	}
	if account, ok := l.accounts[workspace]; ok && reply.Exhausted {
		account.deniedUntil[address] = reply.RetryAt
	}
	return reply
}

// peerState returns the time until which the peer at address has denied tokens of workspace, and the time until which
// it counts as unreachable.
func (l *Lender) peerState(address, workspace string) (deniedUntil, unreachableUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account, ok := l.accounts[workspace]; ok {
		deniedUntil = account.deniedUntil[address]
	}
	return deniedUntil, l.peer(address).unreachableUntil
}

// flush sends the queued reports to peers. Reports that do not arrive are lost; the peer then counts the tokens as
// leased until the leases expire.
func (l *Lender) flush(ctx context.Context) {
	for _, address := range l.Peers() {
		l.mu.Lock()
		reports := l.peer(address).reports
		l.peer(address).reports = nil
		l.mu.Unlock()
		if len(reports) == 0 {
			continue
		}
		sendCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		_, err := l.Borrower.Borrow(sendCtx, address, borrower.Message{Relayed: true, Reports: reports})
		cancel()
		if err != nil {
			l.Log.Warn("reports lost", "address", address, "reports", len(reports), "reason", err)
		}
	}
}
