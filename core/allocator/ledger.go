package allocator

import (
	"slices"
	"time"
)

// Ledger is a lender's immutable account of one workspace: a token bucket together with what is lent from it.
type Ledger struct {
	level   float64
	updated time.Time
	grants  []grant
}

// grant is counted against the burst with its unspent tokens until deadline. Loans are in the order of their deadlines.
type grant struct {
	id       uint64
	tokens   int
	spent    int
	deadline time.Time
}

// Answer says what came of a request for tokens: Lent or Short.
type Answer interface{ answer() }

// Granted is a loan. Left is what the lender has after it.
type Granted struct {
	ID        uint64
	Tokens    int
	Remaining int
}

// Denied says that the lender cannot lend before Until.
type Denied struct {
	Reason Reason
	Until  time.Time
}

func (Granted) answer() {}
func (Denied) answer()  {}

// Reason names why a lender lends nothing.
type Reason string

// The reasons. All but Starting and Unowned say that the part of the lender is used up.
const (
	Exhausted Reason = "exhausted"
	AllLeased Reason = "on-loan"
	Starting  Reason = "starting"
	Unowned   Reason = "unowned"
)

// Report says what became of a loan. Spent counts all of its tokens that were spent so far, so that reports may be
// lost, doubled or late. A returned loan is never used again.
type Report struct {
	ID       uint64
	Spent    int
	Returned bool
}

// NewLedger returns the account of a workspace that the lender holds no record of, at now. Ready is when the lender
// had waited out what it may have lent before its start: its bucket was empty then and has refilled since.
func NewLedger(ready, now time.Time, part Quota) Ledger {
	return Ledger{updated: ready}.at(now, part)
}

// Lend takes wanted tokens, or as many as fit, out of the bucket and puts them on loan as id. It lends at most half
// of what is there, so that a node that asks later finds tokens too.
func (l Ledger) Lend(now time.Time, part Quota, wanted int, id uint64) (Ledger, Answer) {
	if part.Burst < 1 {
		return l, Denied{Reason: Unowned, Until: now.Add(LeaseTTL)}
	}
	if now.Before(l.updated) {
		return l, Denied{Reason: Starting, Until: l.updated}
	}
	l = l.at(now, part)
	if l.level < 1 {
		return l, l.denial(now, part)
	}
	tokens := min(max(wanted, 1), max(1, int(l.level/2)))
	l.level -= float64(tokens)
	l.grants = append(slices.Clip(l.grants), grant{id: id, tokens: tokens, deadline: now.Add(LenderLeaseTTL)})
	return l, Granted{ID: id, Tokens: tokens, Remaining: int(l.level)}
}

func (l Ledger) denial(now time.Time, part Quota) Denied {
	if l.level+float64(l.Leased()) >= float64(part.Burst) && len(l.grants) > 0 {
		return Denied{Reason: AllLeased, Until: l.grants[0].deadline}
	}
	missing := (1 - l.level) / refillRate(part)
	return Denied{Reason: Exhausted, Until: now.Add(time.Duration(missing * float64(time.Second)))}
}

// ApplyReport takes a report. One about a loan that has ended, or of an earlier life of the lender, changes nothing. It
// reports whether the loan was there.
func (l Ledger) ApplyReport(now time.Time, part Quota, report Report) (Ledger, bool) {
	l = l.at(now, part)
	i := slices.IndexFunc(l.grants, func(loan grant) bool { return loan.id == report.ID })
	if i < 0 {
		return l, false
	}
	changed := l.grants[i]
	changed.spent = min(max(changed.spent, report.Spent), changed.tokens)
	l.grants = slices.Clone(l.grants)
	if !report.Returned && changed.spent < changed.tokens {
		l.grants[i] = changed
		return l, true
	}
	l.grants = slices.Delete(l.grants, i, i+1)
	room := float64(part.Burst - l.Leased())
	l.level = max(0, min(l.level+float64(changed.tokens-changed.spent), room))
	return l, true
}

// Leased returns the tokens that are lent and not known to be spent.
func (l Ledger) Leased() int {
	sum := 0
	for _, loan := range l.grants {
		sum += loan.tokens - loan.spent
	}
	return sum
}

// Idle reports whether the account at now equals one that NewLedger would return, so that it need not be kept.
func (l Ledger) Idle(now time.Time, part Quota) bool {
	l = l.at(now, part)
	return len(l.grants) == 0 && l.level >= float64(part.Burst)
}

// at returns the account at now: refilled, and without loans whose deadline has passed. The tokens of those count as
// spent. The refill up to a deadline still counts the loan.
func (l Ledger) at(now time.Time, part Quota) Ledger {
	for len(l.grants) > 0 && !now.Before(l.grants[0].deadline) {
		l = l.refill(l.grants[0].deadline, part)
		l.grants = l.grants[1:]
	}
	return l.refill(now, part)
}

func (l Ledger) refill(now time.Time, part Quota) Ledger {
	room := max(0, float64(part.Burst-l.Leased()))
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.level += elapsed.Seconds() * refillRate(part)
		l.updated = now
	}
	l.level = min(l.level, room)
	return l
}

// refillRate is in tokens per second of the lender's clock, which may be fast.
func refillRate(part Quota) float64 {
	return float64(part.Rate) / (1 + 1.0/driftDivisor)
}
