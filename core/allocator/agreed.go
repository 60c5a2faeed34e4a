package allocator

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"samphiremount.example/core/configurer"
)

// AgreedLifetime is how long a lender that the control processes have agreed on may lend after its last contact with
// control. Whoever takes over its slot has waited longer than that (AgreedEnd).
const AgreedLifetime = 6 * time.Hour

// AgreedEnd is the time from the moment at which a slot of the lenders becomes vacant until all leases of its last holder
// have ended, on a clock that may be fast, if that holder's clock may be slow. The minute covers the way of the vacancy from
// the log to the processes that publish it.
const AgreedEnd = AgreedLifetime + 2*AgreedLifetime/driftDivisor + 2*LenderLeaseLifetime + time.Minute

// lentShare is the fraction of a Margin that agreed lenders lend, and fallbackShare the fraction that nodes without a lender
// may admit. The rest is left for requests that wait between their admission and their run, so that more of them run in a
// window than were admitted in it.
const (
	lentShare     = 0.5
	fallbackShare = 0.25
	// lentBurstShare is the fraction of the lent part of a Margin that is added to the burst. The rest is added to the rate.
	lentBurstShare = 0.5
)

// maxOwners bounds the slots that own a workspace. With more, the loss of one would take a smaller part of the rate, but
// more of it would lie idle at lenders far from the nodes that need it.
const maxOwners = 8

// minAgreedOwners is the number of slots that own a workspace whose burst gives each of them two tokens. A holder that is lost
// for good keeps its slot for AgreedEnd, and a rack may take a third of the nodes: two owners are then both lost one time in ten.
const minAgreedOwners = 4

// BesideAgreed returns the part of m that nodes without a lender may use beside agreed lenders.
func (m Margin) BesideAgreed() Margin {
	m.Overage, m.Tolerance = fallbackShare*m.Overage, fallbackShare*m.Tolerance
	return m
}

// lent returns the rate and burst that agreed lenders lend of workspace: its own and a part of the margin. So the loss of
// one of few owners hardly shows for a small workspace, and the loss of one of many for a large one.
func (m Margin) lent(workspace configurer.Workspace) Quota {
	quota := Quota{Rate: workspace.Rate, Burst: workspace.Burst}
	if m.Window <= 0 {
		return quota
	}
	window := m.Window.Seconds()
	extra := lentShare * (m.Overage*(float64(workspace.Rate)*window+float64(workspace.Burst)) + m.Tolerance)
	burst := math.Floor(lentBurstShare * extra)
	quota.Burst += int(burst)
	quota.Rate += configurer.PerSecond((extra - burst) / window)
	return quota
}

// AgreedOwner is a slot that owns a part of a workspace.
type AgreedOwner struct {
	Slot  configurer.LenderSlot
	Quota Quota
}

// AgreedOwners returns the slots of lenders that own a part of workspace, with their parts, which add up to its rate and
// burst and a part of margin. They are chosen by rendezvous hashing; one in a region that no other owner is in goes first, and
// then one in such a data centre. The choice depends on the numbers and places of the slots only, so that the parts do not
// move when a holder changes.
func AgreedOwners(workspace configurer.Workspace, lenders configurer.Lenders, margin Margin) []AgreedOwner {
	total := margin.lent(workspace)
	owners := min(len(lenders.Slots), maxOwners, max(ownersOf(total.Burst), min(total.Burst/2, minAgreedOwners)))
	if workspace.Burst < 1 || owners == 0 {
		return nil
	}
	// candidates holds the weight of each slot, and how often its place is among those of the owners so far.
	candidates := make([]candidate, len(lenders.Slots))
	for i := range candidates {
		candidates[i].weight = slotWeight(workspace.Name, i)
	}
	chosen := make([]AgreedOwner, 0, owners)
	for rank := range owners {
		best := 0
		for i := range candidates {
			if candidates[i].before(candidates[best]) {
				best = i
			}
		}
		owner := lenders.Slots[best]
		chosen = append(chosen, AgreedOwner{owner, Quota{
			Rate: total.Rate / configurer.PerSecond(owners), Burst: (total.Burst - rank + owners - 1) / owners,
		}})
		candidates[best].taken = true
		for i, slot := range lenders.Slots {
			candidates[i].shared += sharedPlace(slot, owner)
		}
	}
	return chosen
}

type candidate struct {
	weight uint64
	shared int
	taken  bool
}

func (c candidate) before(other candidate) bool {
	switch {
	case c.taken != other.taken:
		return other.taken
	case c.shared != other.shared:
		return c.shared < other.shared
	default:
		return c.weight > other.weight
	}
}

// sharedPlace returns what two slots have in common. The same region counts more than the same data centre with all owners
// together.
func sharedPlace(a, b configurer.LenderSlot) int {
	switch {
	case a.Region != b.Region:
		return 0
	case a.Centre != b.Centre:
		return maxOwners
	default:
		return maxOwners + 1
	}
}

// AgreedQuota returns the quota that the node called name lends of workspace: the sum of those of its slots.
func AgreedQuota(workspace configurer.Workspace, lenders configurer.Lenders, margin Margin, name string) Quota {
	var sum Quota
	if !lenders.Holds(name) {
		return sum
	}
	for _, owner := range AgreedOwners(workspace, lenders, margin) {
		if owner.Slot.Holder == name {
			sum.Rate += owner.Quota.Rate
			sum.Burst += owner.Quota.Burst
		}
	}
	return sum
}

// AgreedRight is the right of one node to lend as an agreed lender. It is immutable; the zero value is that of a process that
// has just started.
type AgreedRight struct {
	lenders configurer.Lenders
}

// Lenders returns the lenders that the right follows from.
func (r AgreedRight) Lenders() configurer.Lenders { return r.lenders }

// With returns the right of the node called name after it has received lenders. It also returns whether the node takes a slot
// over from another one or from its own earlier holding. The buckets of all its ledgers are empty then: the last holder may
// have spent the whole burst.
func (r AgreedRight) With(lenders configurer.Lenders, name string) (next AgreedRight, takesOver bool) {
	for i, slot := range lenders.Slots {
		held := i < len(r.lenders.Slots) && r.lenders.Slots[i].Holder == name && r.lenders.Slots[i].Term == slot.Term
		takesOver = takesOver || slot.Holder == name && slot.Term > 1 && !held
	}
	return AgreedRight{lenders}, takesOver
}

// Quota returns what the node called name may lend of workspace. contactAge is the age of what it knows from control.
func (r AgreedRight) Quota(workspace configurer.Workspace, margin Margin, name string, contactAge time.Duration) Quota {
	if contactAge >= AgreedLifetime {
		return Quota{}
	}
	return AgreedQuota(workspace, r.lenders, margin, name)
}

// slotWeight returns the weight of a slot for workspace in rendezvous hashing.
func slotWeight(workspace string, slot int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace + "\x00slot" + strconv.Itoa(slot)))
	return mix(hash.Sum64())
}
