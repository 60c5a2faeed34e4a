package starter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/lender"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/limiter"
)

// maxProxies bounds the number of peers that are asked in turn for tokens while no lender answers.
const maxProxies = 2

// agreedLender answers messages for tokens on a node of a fleet whose control processes choose the lenders. It lends what this
// node owns, and passes on the messages of nodes that reach no owner.
type agreedLender struct {
	lender  *lender.Lender
	limiter *limiter.Limiter
}

// Proxy implements borrower.Proxier.
func (a agreedLender) Proxy(ctx context.Context, message borrower.Message) (borrower.Reply, error) {
	if message.AskPeers {
		return a.limiter.Proxy(ctx, message)
	}
	return a.lender.Borrow(ctx, message), nil
}

// assembleAgreed creates the lender and the limiter of a node with Options.NodeLenders.
func (n *Node) assembleAgreed(hub *synchronizer.Hub) {
	n.lender = lender.New(timekeeper.Now(), lender.Dependencies{
		Name: n.options.Name, Configuration: hub, Borrower: borrower.NewClient(n.pool), Log: n.log.Part("lend"),
		Peers: func() []string { return nil },
		Agreed: &lender.Agreed{
			Margin:     n.options.FallbackMargin,
			ContactAge: func(now time.Time) time.Duration { return n.Viewer.View().ControlAge(now) },
		},
	})
	sources := n.commonSources(hub, n.options.FallbackMargin.BesideAgreed())
	sources.Lenders = func(name string) []string { return n.owners(hub, name) }
	sources.Agreed = &limiter.Agreed{Addresses: func() map[string]string {
		addresses, directory := make(map[string]string), hub.Directory()
		for _, slot := range hub.Configuration().Lenders().Slots {
			if slot.Holder != "" {
				addresses[slot.Holder] = lenderAddress(directory, slot)
			}
		}
		return addresses
	}}
	n.limiter = limiter.New(borrower.NewClient(n.pool), sources, n.log.Part("admit"))
	borrower.RegisterProxier(n.mux, agreedLender{n.lender, n.limiter})
}

// commonSources returns the sources of tokens that do not depend on who lends. margin is what nodes without a lender may use.
func (n *Node) commonSources(hub *synchronizer.Hub, margin allocator.Margin) limiter.Sources {
	var sources limiter.Sources
	sources.Peers = func() []string {
		peers := slices.Clone(n.peers(hub.Directory()))
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		return peers[:min(maxProxies, len(peers))]
	}
	if n.options.UseFallbackQuota {
		sources.Fallback = func(name string) allocator.FallbackQuota {
			workspace, _ := hub.Configuration().Workspace(name)
			return margin.FallbackQuota(workspace, hub.Directory().Len())
		}
	}
	return sources
}

// owners returns the addresses of the nodes that lend tokens of the workspace called name, nearest first.
func (n *Node) owners(hub *synchronizer.Hub, name string) []string {
	configuration, directory := hub.Configuration(), hub.Directory()
	workspace, ok := configuration.Workspace(name)
	if !ok {
		return nil
	}
	owners := allocator.AgreedOwners(workspace, configuration.Lenders(), n.options.FallbackMargin)
	slices.SortStableFunc(owners, func(a, b allocator.AgreedOwner) int {
		return cmp.Compare(n.distance(directory, a.Slot), n.distance(directory, b.Slot))
	})
	var addresses []string
	for _, owner := range owners {
		if address := lenderAddress(directory, owner.Slot); address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// distance returns how far the holder of slot is: on this node, in its data centre, in its region, or elsewhere.
func (n *Node) distance(directory tracker.Directory, slot configurer.LenderSlot) int {
	region, centre := slot.Region, slot.Centre
	if holder, ok := directory.Node(slot.Holder); ok {
		region, centre = holder.Region, holder.Centre
	}
	switch {
	case slot.Holder == n.options.Name:
		return 0
	case region == n.options.Region && centre == n.options.Centre:
		return 1
	case region == n.options.Region:
		return 2
	}
	return 3
}

// lenderAddress returns the address of the holder of slot, which may have changed since it was chosen.
func lenderAddress(directory tracker.Directory, slot configurer.LenderSlot) string {
	if holder, ok := directory.Node(slot.Holder); ok {
		return holder.Address
	}
	return slot.Address
}
