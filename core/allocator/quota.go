// Package allocator decides how the fleet-wide rate and burst of a workspace are lent to nodes. Each lender owns a
// fixed quota of both. It grants whole tokens for a short time. A node holds the granted tokens as a lease and admits
// one request for each token.
//
// In any window, at most burst + rate x window tokens are spent. The tokens in a lender's bucket and the unspent tokens
// that it has granted grow only by the refill of the bucket, and the refill stops while their sum is the lender's
// burst. So what can be spent in a window is at most this sum at its start, which is at most the burst, and the refill
// during the window. If it is not known whether a token was spent, it counts as leased until its lease must have
// expired, and as spent from then on.
package allocator

import (
	"hash/fnv"
	"time"

	"samphiremount.example/core/configurer"
)

const (
	// LeaseLifetime is the time for which a node may use a lease, from its request for tokens.
	LeaseLifetime = 2 * time.Second
	// driftDivisor bounds the drift of a process's monotonic clock: at most 1 in driftDivisor, slow or fast.
	driftDivisor = 1000
)

// holderLeaseLifetime is LeaseLifetime on the clock of the node that holds the lease, shortened so that no more than
// LeaseLifetime passes even if that clock is slow.
const holderLeaseLifetime = LeaseLifetime - LeaseLifetime/driftDivisor

// LenderLeaseLifetime is LeaseLifetime on a lender's clock, extended so that no less than LeaseLifetime passes even if
// that clock is fast. After its start, a lender waits for this time before it lends, since it has no record of the leases
// that its previous incarnation granted.
const LenderLeaseLifetime = LeaseLifetime + LeaseLifetime/driftDivisor

// Quota is the share of a workspace's rate and burst that one lender may lend. The quotas of all lenders add up to the
// rate and burst of the workspace.
type Quota struct {
	Rate  configurer.PerSecond
	Burst int
}

const (
	// minBurst is the minimum burst of a quota if a burst is divided among more than two lenders. The smaller a quota,
	// the more refill is lost while one lender's quota is full or leased and that of another is empty.
	minBurst = 4
	// minBurstWithTwoOwners is the minimum burst of a quota if a burst is divided between two lenders. Small bursts
	// have two owners too, so that one of them can be unavailable.
	minBurstWithTwoOwners = 2
)

// QuotaFor returns the quota of workspace for the lender called name, one of lenders. All processes must pass the same
// lenders. A small burst is owned by only some of the lenders. They are chosen per workspace by rendezvous hashing
// (Thaler and Ravishankar, 1998), so that small workspaces are spread over the lenders.
func QuotaFor(workspace configurer.Workspace, lenders []string, name string) Quota {
	rank, found := 0, false
	weight := lenderWeight(workspace.Name, name)
	for _, other := range lenders {
		if other == name {
			found = true
			continue
		}
		otherWeight := lenderWeight(workspace.Name, other)
		if otherWeight > weight || otherWeight == weight && other < name {
			rank++
		}
	}
	owners := min(len(lenders), ownersOf(workspace.Burst))
	if !found || rank >= owners || workspace.Burst < 1 {
		return Quota{}
	}
	return Quota{
		Rate:  workspace.Rate / configurer.PerSecond(owners),
		Burst: (workspace.Burst - rank + owners - 1) / owners,
	}
}

// ownersOf returns among how many lenders a burst is divided if there are enough of them.
func ownersOf(burst int) int {
	return max(1, min(2, burst/minBurstWithTwoOwners), burst/minBurst)
}

// lenderWeight returns the weight of lender for workspace in rendezvous hashing.
func lenderWeight(workspace, lender string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace + "\x00" + lender))
	return mix(hash.Sum64())
}

// mix applies the finalizer of SplitMix64 (Steele and others, 2014), since the last bytes of the input hardly change the
// high bits of FNV.
func mix(mixed uint64) uint64 {
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
