// Package ejector decides which targets of a service are ejected and when they return, within the allowance that the
// service's floor leaves.
package ejector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphiremount.example/core/detector"
)

const (
	// ListLifetime is how long a published list counts, on the clocks of those that follow it.
	ListLifetime = 4 * time.Second
	// returnHold is how long a target that returned still counts as ejected: until no list that names it can count any more,
	// lengthened by the bound on the drift between two clocks.
	returnHold = ListLifetime * 11 / 10

	baseEjectionTime = 10 * time.Second
	maxEjectionTime  = 5 * time.Minute

	// A trial ends well after trialAttempts, of which fewer than trialBad may be bad: a healthy target has slow answers
	// too.
	minTrialAttempts = 10
	maxTrialBad      = 2
	maxTrialTime     = 30 * time.Second

	// returnMemory is how long a return counts as a reason for a longer pause at the next ejection.
	returnMemory = 10 * time.Minute
)

// Round is what one round of decisions builds on. Present are the targets that are known to be there and not leaving.
type Round struct {
	Present  []Capacity
	Floor    int
	Verdicts []detector.Verdict
}

// Ejector holds the ejections of one service. It is an immutable value that belongs to the one process that may grant
// ejections; its zero value has none. With healthy capacity C (the slots of targets that are present), floor F and E
// slots ejected, it keeps C - E >= F, where a target that returns counts in E until every list that named it ran out.
type Ejector struct {
	service  string
	ejected  map[string]ejectedTarget
	returned map[string]pastEjection
}

type ejectedTarget struct {
	published     Ejection
	trialStart    time.Time
	trialDeadline time.Time
	attempts      int
	bad           int
}

type pastEjection struct {
	heldUntil       time.Time
	rememberedUntil time.Time
	count           int
}

// New returns an Ejector for service that takes over the entries of a holder before it. They count from now.
func New(now time.Time, service string, entries []Ejection) Ejector {
	e := Ejector{service: service, ejected: make(map[string]ejectedTarget)}
	for _, entry := range entries {
		entry.Phase = Out
		e.ejected[entry.Target] = ejectedTarget{published: entry, trialStart: now.Add(ejectionTime(entry.Count))}
	}
	return e
}

// Ejections returns the ejected targets, sorted by name.
func (e Ejector) Ejections() []Ejection {
	entries := make([]Ejection, 0, len(e.ejected))
	for _, target := range slices.Sorted(maps.Keys(e.ejected)) {
		entries = append(entries, e.ejected[target].published)
	}
	return entries
}

// With returns the Ejector after a round at now, and the round's decisions. The least bad ejected target returns first
// when capacity has fallen; the worst suspect is ejected first.
func (e Ejector) With(now time.Time, round Round) (Ejector, []Decision) {
	next := Ejector{service: e.service, ejected: maps.Clone(e.ejected), returned: make(map[string]pastEjection)}
	if next.ejected == nil {
		next.ejected = make(map[string]ejectedTarget)
	}
	for target, past := range e.returned {
		if now.Before(past.rememberedUntil) {
			next.returned[target] = past
		}
	}
	slots := make(map[string]int, len(round.Present))
	for _, capacity := range round.Present {
		slots[capacity.Target] = capacity.Slots
	}
	decisions := next.restoreCapacity(now, slots, round.Floor)
	decisions = append(decisions, next.advanceTrials(now, round.Verdicts)...)
	return next, append(decisions, next.eject(now, slots, round)...)
}

// restoreCapacity returns targets, least bad first, while capacity without the ejected is below floor.
func (e Ejector) restoreCapacity(now time.Time, slots map[string]int, floor int) []Decision {
	available := 0
	for target, count := range slots {
		if _, out := e.ejected[target]; !out {
			available += count
		}
	}
	entries := e.Ejections()
	sortWorstFirst(entries)
	slices.Reverse(entries)
	var decisions []Decision
	for _, entry := range entries {
		if available >= floor {
			break
		}
		// One that is not seen returns as well: if it is there after all, the floor needs it.
		available += slots[entry.Target]
		e.returnTarget(now, entry.Target)
		decisions = append(decisions, Returned{entry.Target, "capacity fell to the floor"})
	}
	return decisions
}

// advanceTrials moves ejected targets to their trial and out of it.
func (e Ejector) advanceTrials(now time.Time, verdicts []detector.Verdict) []Decision {
	var decisions []Decision
	for _, verdict := range verdicts {
		if out, ok := e.ejected[verdict.Target]; ok && out.published.Phase == Trial {
			out.attempts += verdict.Attempts
			out.bad += verdict.Bad
			e.ejected[verdict.Target] = out
		}
	}
	for _, target := range slices.Sorted(maps.Keys(e.ejected)) {
		if e.ejected[target].published.Phase == Trial {
			decisions = append(decisions, e.endTrial(now, target)...)
		} else if !now.Before(e.ejected[target].trialStart) {
			out := e.ejected[target]
			out.published.Phase, out.attempts, out.bad, out.trialDeadline = Trial, 0, 0, now.Add(maxTrialTime)
			e.ejected[target] = out
			decisions = append(decisions, TrialStarted{target})
		}
	}
	return decisions
}

// endTrial ends a trial that has shown enough.
func (e Ejector) endTrial(now time.Time, target string) []Decision {
	out := e.ejected[target]
	switch {
	case out.bad >= maxTrialBad && out.bad*minTrialAttempts > out.attempts:
		out.published.Phase = Out
		out.published.Count++
		out.trialStart = now.Add(ejectionTime(out.published.Count))
		e.ejected[target] = out
		return []Decision{Ejected{target, "requests of its trial were bad"}}
	case out.attempts >= minTrialAttempts:
		e.returnTarget(now, target)
		return []Decision{Returned{target, "requests of its trial were good"}}
	case !now.Before(out.trialDeadline):
		e.returnTarget(now, target)
		return []Decision{Returned{target, "its trial saw few requests"}}
	}
	return nil
}

// eject ejects suspects, worst first, as far as the allowance goes.
func (e Ejector) eject(now time.Time, slots map[string]int, round Round) []Decision {
	allowance := -round.Floor
	for target, count := range slots {
		_, out := e.ejected[target]
		if !out && !now.Before(e.returned[target].heldUntil) {
			allowance += count
		}
	}
	suspects := slices.DeleteFunc(slices.Clone(round.Verdicts), func(v detector.Verdict) bool {
		_, out := e.ejected[v.Target]
		return out || !v.Suspect() || slots[v.Target] == 0
	})
	slices.SortFunc(suspects, func(a, b detector.Verdict) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Target, b.Target))
	})
	var decisions []Decision
	for _, suspect := range suspects {
		cost := slots[suspect.Target]
		if now.Before(e.returned[suspect.Target].heldUntil) {
			cost = 0
		}
		if allowance < cost {
			decisions = append(decisions, Kept{suspect.Target, suspect.Reason})
			continue
		}
		allowance -= cost
		times := e.returned[suspect.Target].count + 1
		delete(e.returned, suspect.Target)
		e.ejected[suspect.Target] = ejectedTarget{
			published: Ejection{
				Target: suspect.Target, Service: e.service, Score: suspect.Score, Count: times, Reason: suspect.Reason,
			},
			trialStart: now.Add(ejectionTime(times)),
		}
		decisions = append(decisions, Ejected{suspect.Target, suspect.Reason})
	}
	return decisions
}

func (e Ejector) returnTarget(now time.Time, target string) {
	e.returned[target] = pastEjection{now.Add(returnHold), now.Add(returnMemory), e.ejected[target].published.Count}
	delete(e.ejected, target)
}

// ejectionTime returns how long a target stays out before its trial, growing exponentially.
func ejectionTime(times int) time.Duration {
	length := baseEjectionTime
	for range min(max(times-1, 0), 10) {
		length = min(2*length, maxEjectionTime)
	}
	return length
}
