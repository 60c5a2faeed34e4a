// Package allocator decides how a workspace's fleet-wide rate and burst are lent to nodes. Each lender owns a fixed part
// of both. It lends whole tokens for a short time, and a node admits one request for each token that it holds.
//
// Over any window the tokens spent are at most burst + rate x window. A lender's tokens and the unspent ones that it
// lent only ever grow by its refill, and the refill stops while both together reach its burst. So what can be spent in a
// window is at most what both were at its start, the burst, and the refill during it. A token whose fate is not known
// counts as lent until its lease has surely ended, and as spent from then on.
package allocator

import (
	"hash/fnv"
	"time"

	"samphiremount.example/core/configurer"
)

const (
	// LeaseTTL is how long a node may use a lease, counted from when it asked for it.
	LeaseTTL = 2 * time.Second
	// driftDivisor bounds how far the rate of a process's monotonic clock is from true: by 1 in driftDivisor.
	driftDivisor = 1000
)

// holderLeaseTTL is LeaseTime on a holder's clock: never more true time, also if the clock is slow.
const holderLeaseTTL = LeaseTTL - LeaseTTL/driftDivisor

// LenderLeaseTTL is LeaseTime on a lender's clock: never less true time, also if the clock is fast. A lender that starts
// waits that long before it lends, since it has forgotten the leases of its earlier life.
const LenderLeaseTTL = LeaseTTL + LeaseTTL/driftDivisor

// Quota is what one lender may lend of a workspace. The parts of all lenders add up to the workspace's rate and burst.
type Quota struct {
	Rate  configurer.PerSecond
	Burst int
}

const (
	// minBurst is the least part that a burst is divided into. The smaller a part, the more refill is lost while it
	// is full or lent and another part is empty.
	minBurst = 4
	// minBurstWithTwoOwners is the least part of a burst that has two owners, so that one of them can be away.
	minBurstWithTwoOwners = 2
)

// QuotaFor returns the part of the lender called name among lenders, which must be alike on all of them. A small burst is
// owned by some of them only; which ones differs by workspace, by rendezvous hashing (Thaler and Ravishankar, 1998), so
// that small workspaces spread over the lenders.
func QuotaFor(workspace configurer.Workspace, lenders []string, name string) Quota {
	before, own := 0, false
	weight := lenderWeight(workspace.Name, name)
	for _, other := range lenders {
		if other == name {
			own = true
			continue
		}
		otherWeight := lenderWeight(workspace.Name, other)
		if otherWeight > weight || otherWeight == weight && other < name {
			before++
		}
	}
	owners := min(len(lenders), max(1, min(2, workspace.Burst/minBurstWithTwoOwners), workspace.Burst/minBurst))
	if !own || before >= owners || workspace.Burst < 1 {
		return Quota{}
	}
	return Quota{
		Rate:  workspace.Rate / configurer.PerSecond(owners),
		Burst: (workspace.Burst - before + owners - 1) / owners,
	}
}

func lenderWeight(workspace, lender string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace + "\x00" + lender))
	// FNV's last bytes mix little into its high bits, so the finish of SplitMix64 (Steele and others, 2014) follows.
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
