package proposer

import (
	"context"
	"slices"
	"time"

	"samphiremount.example/control/pkg/transporter"
	"samphiremount.example/core/replicator"
)

const introducePeriod = 500 * time.Millisecond

// greeter keeps the calls of the transport out of Replicated's own interface.
type greeter struct{ *Replicated }

// Introduced implements transporter.Greeter. A process that reports with an empty data folder to a cluster may become a
// member when an operator says so.
func (g greeter) Introduced(other transporter.Introduction) transporter.Introduction {
	g.Known(other.Member)
	if !other.Formed {
		g.status.add(other.Member)
	}
	return g.introduction()
}

// Known implements transporter.Greeter.
func (g greeter) Known(sender replicator.Member) { g.status.know(sender) }

func (p *Replicated) introduction() transporter.Introduction {
	return transporter.Introduction{Member: p.own, Formed: !p.status.get().Members.Empty()}
}

// introduceAll reports to the other processes until this one belongs to a cluster. A cluster is founded only by the
// first name of the settings, and only when all the others report an empty folder too: a process that lost its disk
// finds one that belongs to a cluster and waits to be taken in by an operator.
func (p *Replicated) introduceAll(ctx context.Context) error {
	ticker := time.NewTicker(introducePeriod)
	defer ticker.Stop()
	for p.status.get().Members.Empty() {
		if members, ok := p.meetAll(ctx); ok {
			p.log.Info("cluster founded", "members", names(members.Voters))
			select {
			case p.inputs <- replicator.Found{Members: members}:
			case <-ctx.Done():
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// meetAll returns the membership to found, if it is this process's turn.
func (p *Replicated) meetAll(ctx context.Context) (replicator.Membership, bool) {
	voters := []replicator.Member{p.own}
	complete := true
	for name, address := range p.settings.Addresses {
		if name == p.settings.Name {
			continue
		}
		other, err := p.transport.Introduce(ctx, address, p.introduction())
		if err == nil {
			p.status.know(other.Member)
		}
		if err != nil || other.Formed || other.Member.Name != name {
			complete = false
			continue
		}
		voters = append(voters, other.Member)
	}
	slices.SortFunc(voters, func(a, b replicator.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return replicator.Membership{Voters: voters}, complete && voters[0].Name == p.settings.Name
}
