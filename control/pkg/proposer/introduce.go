package proposer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/transporter"
	"samphiremount.example/core/reconciler"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/timekeeper"
)

const (
	introducePeriod = 200 * time.Millisecond
	// reintroduceAfter is how long a member must be out of contact before it introduces itself again, since it may have
	// been removed in that time.
	reintroduceAfter = 2 * replicator.ElectionTimeout
)

// peerHandler implements transporter.Handler without adding its methods to the exported ones of Replica.
type peerHandler struct{ *Replica }

// HandleIntroduction implements transporter.Handler. A process whose identity is not in the membership may become a
// member, so the introduction is recorded as a join request.
func (h peerHandler) HandleIntroduction(other transporter.Introduction) transporter.Introduction {
	h.RecordSender(other.Member)
	h.status.addJoinRequest(other.Member)
	own := h.introduction()
	if other.Known != 0 && other.Known == replicator.DigestOf(own.Members) {
		own.Members = nil
	}
	return own
}

// RecordSender implements transporter.Handler.
func (h peerHandler) RecordSender(sender replicator.Member) { h.status.addKnown(sender) }

func (r *Replica) introduction() transporter.Introduction {
	members := r.status.get().Members
	return transporter.Introduction{Member: r.self, InCluster: !members.Empty(), Members: members.All()}
}

// runIntroductions introduces this process to the others while it belongs to no cluster or, with AutoReconcile, while it
// has been out of contact with its cluster for longer than reintroduceAfter. Only one of the processes in the settings
// bootstraps a cluster, and only if none of the others belongs to one: a process that lost its disk finds peers that
// belong to a cluster, and waits until it is added as a member.
func (r *Replica) runIntroductions(ctx context.Context) error {
	ticker := time.NewTicker(introducePeriod)
	defer ticker.Stop()
	var waitUntil time.Time
	for {
		now := timekeeper.Now()
		if r.status.get().Members.Empty() {
			if !now.Before(waitUntil) {
				waitUntil = now.Add(reconciler.RequestInterval(r.self.Identity, r.tryBootstrap(ctx)))
			}
		} else if r.settings.AutoReconcile && r.status.contactAge() > reintroduceAfter {
			r.introduce(ctx, r.peerAddresses())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tryBootstrap introduces this process to the others and bootstraps a cluster if it must. It returns the largest membership
// that another process has stated.
func (r *Replica) tryBootstrap(ctx context.Context) []replicator.Member {
	replies := r.introduce(ctx, r.peerAddresses())
	members, ok := r.bootstrapMembership(replies)
	if !ok {
		var largest []replicator.Member
		for _, reply := range replies {
			if len(reply.Members) > len(largest) {
				largest = reply.Members
			}
		}
		return largest
	}
	r.log.Info("bootstrapping cluster", "members", memberNames(members.Voters))
	select {
	case r.inputs <- replicator.Bootstrap{Members: members}:
	case <-ctx.Done():
	}
	return nil
}

// peerAddresses returns the addresses of all other processes that may belong to the cluster.
func (r *Replica) peerAddresses() []string {
	var addresses []string
	for _, peer := range r.settings.BootstrapPeers {
		addresses = append(addresses, peer.Address)
	}
	for _, member := range r.status.knownProcesses() {
		if !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == "" || address == r.settings.Address })
}

// introduce exchanges introductions with the processes at addresses and returns those of the processes that answered, by
// address.
func (r *Replica) introduce(ctx context.Context, addresses []string) map[string]transporter.Introduction {
	var mu sync.Mutex
	var group errgroup.Group
	replies := make(map[string]transporter.Introduction, len(addresses))
	for _, address := range addresses {
		stated := r.status.statedMembers(address)
		group.Go(func() error {
			self := transporter.Introduction{Member: r.self, InCluster: !r.status.get().Members.Empty(), Known: replicator.DigestOf(stated)}
			reply, err := r.transport.Introduce(ctx, address, self)
			if err != nil {
				r.log.Debug("introduction failed", "address", address, "reason", err.Error())
				return nil
			}
			if reply.InCluster && len(reply.Members) == 0 {
				reply.Members = stated
			}
			r.status.addStated(address, reply)
			mu.Lock()
			defer mu.Unlock()
			replies[address] = reply
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// bootstrapMembership returns the membership of a new cluster, if this process is the one that must bootstrap it. That is
// the process that the settings list and whose name sorts first, once all peers have answered and none belongs to a
// cluster.
func (r *Replica) bootstrapMembership(replies map[string]transporter.Introduction) (replicator.Membership, bool) {
	if !r.settings.MayBootstrap {
		return replicator.Membership{}, false
	}
	voters := []replicator.Member{r.self}
	listed := false
	for _, peer := range r.settings.BootstrapPeers {
		if peer.Address == r.settings.Address {
			listed = true
			continue
		}
		reply, ok := replies[peer.Address]
		if !ok || reply.InCluster || peer.Name != "" && reply.Member.Name != peer.Name {
			return replicator.Membership{}, false
		}
		voters = append(voters, reply.Member)
	}
	slices.SortFunc(voters, func(a, b replicator.Member) int { return strings.Compare(a.Name, b.Name) })
	return replicator.Membership{Voters: voters}, listed && voters[0].Name == r.settings.Name
}
