package allocator

import (
	"slices"
	"time"
)

// Lease is the holder's record of the tokens that a lender granted to it.
type Lease struct {
	Lender   string
	ID       uint64
	Tokens   int
	Deadline time.Time

	spent    int
	reported int
}

// NewLease returns a lease of tokens that the holder requested at the given time on its own clock. The lender counts
// from a later time, so the lease expires at the holder first.
func NewLease(requested time.Time, lender string, id uint64, tokens int) Lease {
	return Lease{Lender: lender, ID: id, Tokens: tokens, Deadline: requested.Add(holderLeaseLifetime)}
}

// Remaining returns the number of unspent tokens.
func (l Lease) Remaining() int { return l.Tokens - l.spent }

// LeaseSet is the set of one workspace's leases on one node. It is immutable; its zero value is empty.
type LeaseSet struct {
	leases []Lease
}

// With returns the set with one more lease.
func (s LeaseSet) With(lease Lease) LeaseSet {
	return LeaseSet{append(slices.Clip(s.leases), lease)}
}

// Spend spends one token of the lease that expires first, and returns that lease. It returns false if there is no
// token. The caller must read now after any wait: leases may have expired while the process was suspended.
func (s LeaseSet) Spend(now time.Time) (LeaseSet, Lease, bool) {
	first := -1
	for i, lease := range s.leases {
		usable := lease.Remaining() > 0 && now.Before(lease.Deadline)
		if usable && (first < 0 || lease.Deadline.Before(s.leases[first].Deadline)) {
			first = i
		}
	}
	if first < 0 {
		return s, Lease{}, false
	}
	leases := slices.Clone(s.leases)
	leases[first].spent++
	return LeaseSet{leases}, leases[first], true
}

// Remaining returns the number of tokens that can be spent at now.
func (s LeaseSet) Remaining(now time.Time) int {
	sum := 0
	for _, lease := range s.leases {
		if now.Before(lease.Deadline) {
			sum += lease.Remaining()
		}
	}
	return sum
}

// Empty reports whether the set has no lease, and so nothing to spend or report.
func (s LeaseSet) Empty() bool { return len(s.leases) == 0 }

// LeaseReport is a report and the lender that it is sent to.
type LeaseReport struct {
	Lender string
	Report Report
}

// CollectReports returns the leases that expire before returnBefore to their lenders, removes those that are spent or
// have expired at now, and reports the tokens spent since the last reports. A lease is removed from the set before its
// return is sent, so that no token can be spent by both the holder and the lender.
func (s LeaseSet) CollectReports(now, returnBefore time.Time) (LeaseSet, []LeaseReport) {
	var remaining []Lease
	var reports []LeaseReport
	for _, lease := range s.leases {
		returned := lease.Deadline.Before(returnBefore)
		if now.Before(lease.Deadline) && (returned || lease.spent > lease.reported) {
			reports = append(reports, LeaseReport{
				Lender: lease.Lender, Report: Report{ID: lease.ID, Spent: lease.spent, Returned: returned},
			})
			lease.reported = lease.spent
		}
		if !returned && now.Before(lease.Deadline) && lease.Remaining() > 0 {
			remaining = append(remaining, lease)
		}
	}
	return LeaseSet{remaining}, reports
}
