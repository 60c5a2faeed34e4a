package proposer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/transporter"
	"samphiremount.example/core/replicator"
)

const (
	introducePeriod = 200 * time.Millisecond
	// reintroduceAfter is how long a member must have been out of contact before it reports again: it may have been
	// removed meanwhile.
	reintroduceAfter = 2 * replicator.ElectionTimeout
)

// peerHandler keeps the calls of the transport out of Replicated's own interface.
type peerHandler struct{ *Replica }

// HandleIntroduction implements transporter.Greeter. A process that reports to a cluster with a data folder that is not in the
// membership may become a member.
func (g peerHandler) HandleIntroduction(other transporter.Introduction) transporter.Introduction {
	g.RecordSender(other.Member)
	g.status.addJoinRequest(other.Member)
	return g.introduction()
}

// RecordSender implements transporter.Greeter.
func (g peerHandler) RecordSender(sender replicator.Member) { g.status.addKnown(sender) }

func (p *Replica) introduction() transporter.Introduction {
	members := p.status.get().Members
	return transporter.Introduction{Member: p.self, Formed: !members.Empty(), Members: members.All()}
}

// runIntroductions reports to the other processes while this one belongs to no cluster, or is out of contact with its own
// for long. A cluster is founded by one process of the settings only, and only when all the others report an empty
// folder too: a process that lost its disk finds one that belongs to a cluster and waits to be taken in.
func (p *Replica) runIntroductions(ctx context.Context) error {
	ticker := time.NewTicker(introducePeriod)
	defer ticker.Stop()
	for {
		if p.status.get().Members.Empty() {
			p.tryBootstrap(ctx)
		} else if p.settings.AutoReconcile && p.status.contactAge() > reintroduceAfter {
			p.introduce(ctx, p.peerAddresses())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Replica) tryBootstrap(ctx context.Context) {
	met := p.introduce(ctx, p.peerAddresses())
	members, ok := p.bootstrapMembership(met)
	if !ok {
		return
	}
	p.log.Info("cluster founded", "members", memberNames(members.Voters))
	select {
	case p.inputs <- replicator.Bootstrap{Members: members}:
	case <-ctx.Done():
	}
}

// peerAddresses returns the addresses of all processes that may belong to the cluster, but the own one.
func (p *Replica) peerAddresses() []string {
	var addresses []string
	for _, founder := range p.settings.BootstrapPeers {
		addresses = append(addresses, founder.Address)
	}
	for _, member := range p.status.knownProcesses() {
		if !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == "" || address == p.settings.Address })
}

// introduce exchanges introductions with the processes at addresses, and returns those of the ones that answered.
func (p *Replica) introduce(ctx context.Context, addresses []string) map[string]transporter.Introduction {
	var mu sync.Mutex
	var group errgroup.Group
	met := make(map[string]transporter.Introduction, len(addresses))
	for _, address := range addresses {
		group.Go(func() error {
			other, err := p.transport.Introduce(ctx, address, p.introduction())
			if err != nil {
				p.log.Debug("process not met", "address", address, "reason", err.Error())
				return nil
			}
			p.status.addKnown(append(other.Members, other.Member)...)
			mu.Lock()
			defer mu.Unlock()
			met[address] = other
			return nil
		})
	}
	_ = group.Wait()
	return met
}

// bootstrapMembership returns the membership to found, if it is this process's turn.
func (p *Replica) bootstrapMembership(met map[string]transporter.Introduction) (replicator.Membership, bool) {
	if !p.settings.MayBootstrap {
		return replicator.Membership{}, false
	}
	voters := []replicator.Member{p.self}
	named := false
	for _, founder := range p.settings.BootstrapPeers {
		if founder.Address == p.settings.Address {
			named = true
			continue
		}
		other, ok := met[founder.Address]
		if !ok || other.Formed || founder.Name != "" && other.Member.Name != founder.Name {
			return replicator.Membership{}, false
		}
		voters = append(voters, other.Member)
	}
	slices.SortFunc(voters, func(a, b replicator.Member) int { return strings.Compare(a.Name, b.Name) })
	return replicator.Membership{Voters: voters}, named && voters[0].Name == p.settings.Name
}
