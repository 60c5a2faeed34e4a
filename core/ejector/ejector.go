// Package ejector decides which targets of a service are ejected and when they return. It ejects only as much capacity
// as the floor of the service allows.
package ejector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphiremount.example/core/detector"
)

const (
	// ListLifetime is how long a published list is valid, on the clocks of the processes that follow it.
	ListLifetime = 4 * time.Second
	// returnHold is how long a returned target still counts as ejected in the allowance: until no list that names it can
	// be valid. The extra tenth is the bound on the drift between two clocks.
	returnHold = ListLifetime * 11 / 10

	// baseEjectionTime is the time from the first ejection of a target to its trial. By then the nodes follow the list, and
	// most attempts from before have ended or count as late. It doubles with each further ejection, up to maxEjectionTime.
	baseEjectionTime = ListLifetime
	maxEjectionTime  = 5 * time.Minute

	// A trial fails if more of its attempts are bad than at maxTrialRatio times the rate of the peers, and more than one in
	// minTrialAttempts. A target that is as good as its peers must pass, since it is no outlier. It returns after
	// minTrialAttempts attempts or after maxTrialTime.
	minTrialAttempts = 10
	maxTrialRatio    = 2
	maxTrialTime     = 30 * time.Second

	// returnMemory is how long after a return a new ejection counts as a repeated one, with a longer ejection time.
	returnMemory = 10 * time.Minute
)

// Round is the input to one round of decisions. Present lists the targets that are known to be present and not leaving.
// Floor is in slots.
type Round struct {
	Present  []Capacity
	Floor    int
	Verdicts []detector.Verdict
}

// Ejector holds the ejections of one service. It is an immutable value, used only by the one process that may grant
// ejections. The zero value has no ejections. With the capacity C (the slots of the targets that are present), the floor
// F and E ejected slots, no ejection violates C - E >= F. A target that returned counts in E until every list that names
// it has expired.
type Ejector struct {
	service  string
	ejected  map[string]ejectedTarget
	returned map[string]pastEjection
}

// ejectedTarget is an ejected target with its published ejection. attempts and bad count the attempts of its trial, and
// peerRate is the highest fraction of bad attempts that its peers had in a round of the trial.
type ejectedTarget struct {
	published     Ejection
	trialStart    time.Time
	trialDeadline time.Time
	attempts      int
	bad           int
	peerRate      float64
}

// failsTrial reports whether the trial failed so far.
func (t ejectedTarget) failsTrial() bool {
	tolerated := max(maxTrialRatio*t.peerRate, 1.0/minTrialAttempts)
	return float64(t.bad) > tolerated*float64(max(t.attempts, minTrialAttempts))
}

// pastEjection is the last ejection of a target that returned. It counts as ejected until heldUntil. count is the number
// of ejections that make the next ejection longer if it comes before rememberedUntil.
type pastEjection struct {
	heldUntil       time.Time
	rememberedUntil time.Time
	count           int
}

// New returns an Ejector for service that takes over the ejections of the previous holder of the lease. Their ejection
// times restart at now.
func New(now time.Time, service string, ejections []Ejection) Ejector {
	e := Ejector{service: service, ejected: make(map[string]ejectedTarget)}
	for _, ejection := range ejections {
		ejection.Phase = Excluded
		e.ejected[ejection.Target] = ejectedTarget{published: ejection, trialStart: now.Add(ejectionTime(ejection.Count))}
	}
	return e
}

// Ejections returns the ejections, sorted by the names of their targets.
func (e Ejector) Ejections() []Ejection {
	ejections := make([]Ejection, 0, len(e.ejected))
	for _, target := range slices.Sorted(maps.Keys(e.ejected)) {
		ejections = append(ejections, e.ejected[target].published)
	}
	return ejections
}

// With returns the Ejector after a round at now, and the decisions of the round. If the capacity has fallen below the
// floor, ejected targets return, those with the lowest scores first. Suspects with the highest scores are ejected first.
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

// restoreCapacity ends ejections, those of the targets with the lowest scores first, until the capacity that is not
// ejected reaches floor.
func (e Ejector) restoreCapacity(now time.Time, slots map[string]int, floor int) []Decision {
	available := 0
	for target, count := range slots {
		if _, out := e.ejected[target]; !out {
			available += count
		}
	}
	ejections := e.Ejections()
	sortWorstFirst(ejections)
	slices.Reverse(ejections)
	var decisions []Decision
	for _, ejection := range ejections {
		if available >= floor {
			break
		}
		// A target that is not known to be present returns as well, since the floor needs it if it is present after all.
		available += slots[ejection.Target]
		e.returnTarget(now, ejection.Target)
		decisions = append(decisions, Returned{ejection.Target, "capacity fell to the floor"})
	}
	return decisions
}

// advanceTrials counts the attempts of trials, and starts and ends trials that are due.
func (e Ejector) advanceTrials(now time.Time, verdicts []detector.Verdict) []Decision {
	var decisions []Decision
	for _, verdict := range verdicts {
		if out, ok := e.ejected[verdict.Target]; ok && out.published.Phase == Trial {
			out.attempts += verdict.Attempts
			out.bad += verdict.Bad
			out.peerRate = max(out.peerRate, verdict.PeerRate)
			e.ejected[verdict.Target] = out
		}
	}
	for _, target := range slices.Sorted(maps.Keys(e.ejected)) {
		if e.ejected[target].published.Phase == Trial {
			decisions = append(decisions, e.endTrial(now, target)...)
		} else if !now.Before(e.ejected[target].trialStart) {
			out := e.ejected[target]
			out.published.Phase, out.trialDeadline = Trial, now.Add(maxTrialTime)
			out.attempts, out.bad, out.peerRate = 0, 0, 0
			e.ejected[target] = out
			decisions = append(decisions, TrialStarted{target})
		}
	}
	return decisions
}

// endTrial ends the trial of target if it has enough evidence or has run for maxTrialTime.
func (e Ejector) endTrial(now time.Time, target string) []Decision {
	out := e.ejected[target]
	switch {
	case out.failsTrial():
		out.published.Phase = Excluded
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

// eject ejects suspects, those with the highest scores first, as far as the floor allows. A returned target that still
// counts as ejected costs no further capacity.
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
		count := e.returned[suspect.Target].count + 1
		delete(e.returned, suspect.Target)
		e.ejected[suspect.Target] = ejectedTarget{
			published: Ejection{
				Target: suspect.Target, Service: e.service, Score: suspect.Score, Count: count, Reason: suspect.Reason,
			},
			trialStart: now.Add(ejectionTime(count)),
		}
		decisions = append(decisions, Ejected{suspect.Target, suspect.Reason})
	}
	return decisions
}

// returnTarget ends the ejection of target at now.
func (e Ejector) returnTarget(now time.Time, target string) {
	e.returned[target] = pastEjection{now.Add(returnHold), now.Add(returnMemory), e.ejected[target].published.Count}
	delete(e.ejected, target)
}

// ejectionTime returns the time from the ejection of a target to its trial. It grows exponentially with count, the
// number of ejections.
func ejectionTime(count int) time.Duration {
	length := baseEjectionTime
	for range min(max(count-1, 0), 10) {
		length = min(2*length, maxEjectionTime)
	}
	return length
}
