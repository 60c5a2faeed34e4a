package allocator

import (
	"slices"
	"time"
)

// Ledger is a lender's account of one workspace: a token bucket and the grants of tokens from it. It is immutable.
type Ledger struct {
	level   float64
	updated time.Time
	grants  []grant
}

// grant is the lender's record of a lease. Until its deadline, its unspent tokens count against the burst. The grants
// of a ledger are in the order of their deadlines.
type grant struct {
	id       uint64
	tokens   int
	spent    int
	deadline time.Time
}

// Answer is the result of a request for tokens: Granted or Denied.
type Answer interface{ answer() }

// Granted is a grant of tokens. Remaining is the number of tokens that the lender has left.
type Granted struct {
	ID        uint64
	Tokens    int
	Remaining int
}

// Denied means that the lender cannot lend before Until.
type Denied struct {
	Reason Reason
	Until  time.Time
}

func (Granted) answer() {}
func (Denied) answer()  {}

// Reason is why a lender does not lend.
type Reason string

// The reasons. Exhausted and AllLeased mean that the lender's quota is used up: AllLeased if all of it is leased and
// not known to be spent, Exhausted otherwise. A lender that has just started does not lend yet (Starting). A lender
// whose quota is empty does not own a share of the workspace (Unowned).
const (
	Exhausted Reason = "exhausted"
	AllLeased Reason = "on-loan"
	Starting  Reason = "starting"
	Unowned   Reason = "unowned"
)

// Report is the state of a lease as its holder reports it. Spent is the total number of its tokens spent so far, so
// reports may be lost, duplicated or late. A returned lease is never used again.
type Report struct {
	ID       uint64
	Spent    int
	Returned bool
}

// NewLedger returns the ledger at now of a workspace of which the lender has no record. All leases of the lender's
// previous incarnation have expired at ready. The bucket is empty at ready and is refilled after that.
func NewLedger(ready, now time.Time, quota Quota) Ledger {
	return Ledger{updated: ready}.at(now, quota)
}

// Lend takes up to wanted tokens from the bucket and records them as the grant id. It takes at most half of the tokens
// in the bucket, but at least one, so that tokens are left for nodes that ask later.
func (l Ledger) Lend(now time.Time, quota Quota, wanted int, id uint64) (Ledger, Answer) {
	if quota.Burst < 1 {
		return l, Denied{Reason: Unowned, Until: now.Add(LeaseLifetime)}
	}
	if now.Before(l.updated) {
		return l, Denied{Reason: Starting, Until: l.updated}
	}
	l = l.at(now, quota)
	if l.level < 1 {
		return l, l.denial(now, quota)
	}
	tokens := min(max(wanted, 1), max(1, int(l.level/2)))
	l.level -= float64(tokens)
	l.grants = append(slices.Clip(l.grants), grant{id: id, tokens: tokens, deadline: now.Add(LenderLeaseLifetime)})
	return l, Granted{ID: id, Tokens: tokens, Remaining: int(l.level)}
}

// denial returns why a bucket with less than one token does not lend, and when it may have one.
func (l Ledger) denial(now time.Time, quota Quota) Denied {
	if l.level+float64(l.Leased()) >= float64(quota.Burst) && len(l.grants) > 0 {
		return Denied{Reason: AllLeased, Until: l.grants[0].deadline}
	}
	missing := (1 - l.level) / refillRate(quota)
	return Denied{Reason: Exhausted, Until: now.Add(time.Duration(missing * float64(time.Second)))}
}

// ApplyReport returns the ledger after a report at now, and whether the grant is known. A report on a grant that has
// expired, or of a previous incarnation of the lender, changes nothing.
func (l Ledger) ApplyReport(now time.Time, quota Quota, report Report) (Ledger, bool) {
	l = l.at(now, quota)
	i := slices.IndexFunc(l.grants, func(g grant) bool { return g.id == report.ID })
	if i < 0 {
		return l, false
	}
	updatedGrant := l.grants[i]
	updatedGrant.spent = min(max(updatedGrant.spent, report.Spent), updatedGrant.tokens)
	l.grants = slices.Clone(l.grants)
	if !report.Returned && updatedGrant.spent < updatedGrant.tokens {
		l.grants[i] = updatedGrant
		return l, true
	}
	l.grants = slices.Delete(l.grants, i, i+1)
	capacity := float64(quota.Burst - l.Leased())
	l.level = max(0, min(l.level+float64(updatedGrant.tokens-updatedGrant.spent), capacity))
	return l, true
}

// Drained returns the ledger at now with an empty bucket. The grants are kept.
func (l Ledger) Drained(now time.Time, quota Quota) Ledger {
	l = l.at(now, quota)
	l.level = 0
	return l
}

// Leased returns the number of tokens that are granted and not known to be spent.
func (l Ledger) Leased() int {
	sum := 0
	for _, g := range l.grants {
		sum += g.tokens - g.spent
	}
	return sum
}

// Idle reports whether the ledger at now equals the one that NewLedger would return, so that it need not be kept.
func (l Ledger) Idle(now time.Time, quota Quota) bool {
	l = l.at(now, quota)
	return len(l.grants) == 0 && l.level >= float64(quota.Burst)
}

// at returns the ledger at now: refilled, and without the grants whose deadline has passed. Their tokens count as
// spent. The tokens of a grant limit the refill until its deadline.
func (l Ledger) at(now time.Time, quota Quota) Ledger {
	for len(l.grants) > 0 && !now.Before(l.grants[0].deadline) {
		l = l.refill(l.grants[0].deadline, quota)
		l.grants = l.grants[1:]
	}
	return l.refill(now, quota)
}

// refill adds the tokens since the last update. The bucket and the leased tokens together never exceed the burst.
func (l Ledger) refill(now time.Time, quota Quota) Ledger {
	capacity := max(0, float64(quota.Burst-l.Leased()))
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.level += elapsed.Seconds() * refillRate(quota)
		l.updated = now
	}
	l.level = min(l.level, capacity)
	return l
}

// refillRate returns the refill in tokens per second on the lender's clock. It is below the rate of the quota, since
// that clock may be fast.
func refillRate(quota Quota) float64 {
	return float64(quota.Rate) / (1 + 1.0/driftDivisor)
}
