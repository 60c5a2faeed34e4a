package lender

import (
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/configurer"
)

// Agreed is what a node needs that lends as control processes have agreed. ContactAge returns the age at a time of what the
// node knows from control.
type Agreed struct {
	Margin     allocator.Margin
	ContactAge func(now time.Time) time.Duration
}

const (
	// maxPause is the longest time between two looks at the clock after which the process does not count as suspended. It is
	// below the minute that allocator.AgreedEnd leaves for the way of a vacancy.
	maxPause = 30 * time.Second
	// resumeWait is how long after a suspension messages may still arrive that were sent before it.
	resumeWait = 10 * time.Second
)

// quota returns what this lender may lend of workspace at now. The caller holds the lock.
func (l *Lender) quota(workspace configurer.Workspace, now time.Time) allocator.Quota {
	if l.Agreed == nil {
		return allocator.QuotaFor(workspace, l.Lenders(), l.Name)
	}
	l.checkPause(now)
	age := l.Agreed.ContactAge(now)
	if !l.resumedAt.IsZero() && age >= now.Sub(l.resumedAt)-resumeWait {
		// The last contact may be a message from before the suspension.
		return allocator.Quota{}
	}
	return l.right.Quota(workspace, l.Agreed.Margin, l.Name, age)
}

// checkPause records that the process was suspended if it has not looked at the clock for long. The caller holds the lock.
func (l *Lender) checkPause(now time.Time) {
	if !l.lookedAt.IsZero() && now.Sub(l.lookedAt) > maxPause {
		l.resumedAt = now
		l.Log.Warn("right to lend suspended", "reason", "this process was suspended", "pause", now.Sub(l.lookedAt))
	}
	l.lookedAt = now
}

// watch looks at the clock, so that only a suspension is taken for one.
func (l *Lender) watch(now time.Time) {
	if l.Agreed == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkPause(now)
}

// updateRight has the lender follow the lenders of configuration. The caller holds the lock.
func (l *Lender) updateRight(configuration configurer.Configuration, now time.Time) {
	lenders := configuration.Lenders()
	if l.Agreed == nil || lenders.Epoch <= l.right.Lenders().Epoch {
		return
	}
	next, takesOver := l.right.With(lenders, l.Name)
	for name, account := range l.accounts {
		if workspace, _ := configuration.Workspace(name); takesOver {
			account.ledger = account.ledger.Drained(now, l.quota(workspace, now))
		}
	}
	if takesOver && now.After(l.ready) {
		l.ready = now
	}
	l.right = next
	l.Log.Info("lenders agreed", "epoch", lenders.Epoch, "lends", lenders.Holds(l.Name), "takes_over", takesOver)
}

// lendAgreed answers a message for tokens of workspace. It asks no other lender, since nodes ask all owners themselves.
func (l *Lender) lendAgreed(workspace configurer.Workspace, wanted int) borrower.Reply {
	reply := l.lend(workspace, wanted)
	if reply.Reason == string(allocator.Unowned) {
		// The node that asked has followed other lenders than this one.
		reply.Exhausted = false
	}
	return reply
}
