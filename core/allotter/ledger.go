package allotter

import (
	"slices"
	"time"
)

// Ledger is a lender's immutable account of one workspace: a token bucket together with what is lent from it.
type Ledger struct {
	level   float64
	updated time.Time
	loans   []loan
}

// loan is counted against the burst with its unspent tokens until deadline. Loans are in the order of their deadlines.
type loan struct {
	id       uint64
	tokens   int
	spent    int
	deadline time.Time
}

// Answer says what came of a request for tokens: Lent or Short.
type Answer interface{ answer() }

// Lent is a loan. Left is what the lender has after it.
type Lent struct {
	ID     uint64
	Tokens int
	Left   int
}

// Short says that the lender cannot lend before Until.
type Short struct {
	Reason Reason
	Until  time.Time
}

func (Lent) answer()  {}
func (Short) answer() {}

// Reason names why a lender lends nothing.
type Reason string

// The reasons. All but Starting and Unowned say that the part of the lender is used up.
const (
	Exhausted Reason = "exhausted"
	OnLoan    Reason = "on-loan"
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
func NewLedger(ready, now time.Time, part Part) Ledger {
	return Ledger{updated: ready}.at(now, part)
}

// Lend takes wanted tokens, or as many as fit, out of the bucket and puts them on loan as id. It lends at most half
// of what is there, so that a node that asks later finds tokens too.
func (l Ledger) Lend(now time.Time, part Part, wanted int, id uint64) (Ledger, Answer) {
	if part.Burst < 1 {
		return l, Short{Reason: Unowned, Until: now.Add(LeaseTime)}
	}
	if now.Before(l.updated) {
		return l, Short{Reason: Starting, Until: l.updated}
	}
	l = l.at(now, part)
	if l.level < 1 {
		return l, l.short(now, part)
	}
	tokens := min(max(wanted, 1), max(1, int(l.level/2)))
	l.level -= float64(tokens)
	l.loans = append(slices.Clip(l.loans), loan{id: id, tokens: tokens, deadline: now.Add(LenderTime)})
	return l, Lent{ID: id, Tokens: tokens, Left: int(l.level)}
}

func (l Ledger) short(now time.Time, part Part) Short {
	if l.level+float64(l.OnLoan()) >= float64(part.Burst) && len(l.loans) > 0 {
		return Short{Reason: OnLoan, Until: l.loans[0].deadline}
	}
	missing := (1 - l.level) / refillRate(part)
	return Short{Reason: Exhausted, Until: now.Add(time.Duration(missing * float64(time.Second)))}
}

// Settle takes a report. One about a loan that has ended, or of an earlier life of the lender, changes nothing. It
// reports whether the loan was there.
func (l Ledger) Settle(now time.Time, part Part, report Report) (Ledger, bool) {
	l = l.at(now, part)
	i := slices.IndexFunc(l.loans, func(loan loan) bool { return loan.id == report.ID })
	if i < 0 {
		return l, false
	}
	changed := l.loans[i]
	changed.spent = min(max(changed.spent, report.Spent), changed.tokens)
	l.loans = slices.Clone(l.loans)
	if !report.Returned && changed.spent < changed.tokens {
		l.loans[i] = changed
		return l, true
	}
	l.loans = slices.Delete(l.loans, i, i+1)
	room := float64(part.Burst - l.OnLoan())
	l.level = max(0, min(l.level+float64(changed.tokens-changed.spent), room))
	return l, true
}

// OnLoan returns the tokens that are lent and not known to be spent.
func (l Ledger) OnLoan() int {
	sum := 0
	for _, loan := range l.loans {
		sum += loan.tokens - loan.spent
	}
	return sum
}

// Idle reports whether the account at now equals one that NewLedger would return, so that it need not be kept.
func (l Ledger) Idle(now time.Time, part Part) bool {
	l = l.at(now, part)
	return len(l.loans) == 0 && l.level >= float64(part.Burst)
}

// at returns the account at now: refilled, and without loans whose deadline has passed. The tokens of those count as
// spent. The refill up to a deadline still counts the loan.
func (l Ledger) at(now time.Time, part Part) Ledger {
	for len(l.loans) > 0 && !now.Before(l.loans[0].deadline) {
		l = l.refill(l.loans[0].deadline, part)
		l.loans = l.loans[1:]
	}
	return l.refill(now, part)
}

func (l Ledger) refill(now time.Time, part Part) Ledger {
	room := max(0, float64(part.Burst-l.OnLoan()))
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.level += elapsed.Seconds() * refillRate(part)
		l.updated = now
	}
	l.level = min(l.level, room)
	return l
}

// refillRate is in tokens per second of the lender's clock, which may be fast.
func refillRate(part Part) float64 {
	return float64(part.Rate) / (1 + 1.0/driftDivisor)
}
