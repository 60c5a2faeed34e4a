package allocator

import (
	"slices"
	"time"
)

// Lease is a loan as its holder counts it.
type Lease struct {
	Lender   string
	ID       uint64
	Tokens   int
	Deadline time.Time

	spent    int
	reported int
}

// NewLease returns the lease of tokens that the holder asked for at asked, on its own clock. The lender's count starts
// later, so the holder's ends first.
func NewLease(asked time.Time, lender string, id uint64, tokens int) Lease {
	return Lease{Lender: lender, ID: id, Tokens: tokens, Deadline: asked.Add(holderLeaseTTL)}
}

// Remaining returns the unspent tokens.
func (l Lease) Remaining() int { return l.Tokens - l.spent }

// LeaseSet is the immutable set of one workspace's leases on one node. The zero value is empty.
type LeaseSet struct {
	leases []Lease
}

// With returns the holding with one more lease.
func (h LeaseSet) With(lease Lease) LeaseSet {
	return LeaseSet{append(slices.Clip(h.leases), lease)}
}

// Spend spends one token of the lease that ends first, and returns that lease. Now must be read after any wait, since a
// process that was frozen finds its leases as fresh as it left them.
func (h LeaseSet) Spend(now time.Time) (LeaseSet, Lease, bool) {
	best := -1
	for i, lease := range h.leases {
		usable := lease.Remaining() > 0 && now.Before(lease.Deadline)
		if usable && (best < 0 || lease.Deadline.Before(h.leases[best].Deadline)) {
			best = i
		}
	}
	if best < 0 {
		return h, Lease{}, false
	}
	leases := slices.Clone(h.leases)
	leases[best].spent++
	return LeaseSet{leases}, leases[best], true
}

// Remaining returns the tokens that can be spent at now.
func (h LeaseSet) Remaining(now time.Time) int {
	sum := 0
	for _, lease := range h.leases {
		if now.Before(lease.Deadline) {
			sum += lease.Remaining()
		}
	}
	return sum
}

// Empty reports whether nothing is held and nothing is left to report.
func (h LeaseSet) Empty() bool { return len(h.leases) == 0 }

// LeaseReport is a report together with the lender that it goes to.
type LeaseReport struct {
	Lender string
	Report Report
}

// CollectReports gives back the leases that end before returnBefore, drops those that have ended at now or are spent, and
// returns what is new for the lenders. A lease leaves the holding before its return is sent, so that no token of it
// can be spent on both sides.
func (h LeaseSet) CollectReports(now, returnBefore time.Time) (LeaseSet, []LeaseReport) {
	var kept []Lease
	var settlements []LeaseReport
	for _, lease := range h.leases {
		returned := lease.Deadline.Before(returnBefore)
		if now.Before(lease.Deadline) && (returned || lease.spent > lease.reported) {
			settlements = append(settlements, LeaseReport{
				Lender: lease.Lender, Report: Report{ID: lease.ID, Spent: lease.spent, Returned: returned},
			})
			lease.reported = lease.spent
		}
		if !returned && now.Before(lease.Deadline) && lease.Remaining() > 0 {
			kept = append(kept, lease)
		}
	}
	return LeaseSet{kept}, settlements
}
