package limiter

import (
	"strconv"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/timekeeper"
)

// acquireFallback spends a token of the node's fallback quota, since no lender answered.
func (l *Limiter) acquireFallback(workspace string) (string, error) {
	const reason = "no lender answered in time"
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[workspace]
	if !ok {
		return "", refuse(false, reason)
	}
	if a.denial.Exhausted {
		return "", refuse(true, a.denial.Reason)
	}
	if l.sources.Fallback == nil {
		return "", refuse(false, reason)
	}
	if reason, _, ok := l.reserveFallback(workspace, a, timekeeper.Now()); ok {
		return reason, nil
	}
	return "", refuse(false, reason+", and the node's share of the rate is used up")
}

// reserveFallback spends a token of the node's fallback quota that is available by latest, and returns when it is. The
// caller holds the lock.
func (l *Limiter) reserveFallback(workspace string, a *account, latest time.Time) (reason string, at time.Time, ok bool) {
	if l.sources.Fallback == nil {
		return "", time.Time{}, false
	}
	quota := l.fallbackQuota(workspace, a)
	a.fallback, at, ok = a.fallback.Reserve(timekeeper.Now(), latest, quota)
	if !ok {
		return "", time.Time{}, false
	}
	counters.Add("admitted_alone", 1)
	return "share of " + strconv.Itoa(quota.Nodes) + " nodes, since no lender lends", at, true
}

// fallbackQuota returns how the rate of workspace is divided while no lender grants tokens. A process that reaches no
// lender may be partitioned from lenders that lend the whole rate to other nodes, so it gets the whole rate only while all
// lenders state that they lend to nobody. The burst is included only for a process that never borrowed: after a power loss
// all processes start at once, and none has used the burst. The caller holds the lock.
func (l *Limiter) fallbackQuota(workspace string, a *account) allocator.FallbackQuota {
	quota := l.sources.Fallback(workspace)
	if !a.lendersIdle {
		return quota.BesideLenders()
	}
	if l.borrowed {
		quota.Burst = 0
	}
	return quota
}
