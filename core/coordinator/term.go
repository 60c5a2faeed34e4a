package coordinator

import (
	"maps"
	"slices"
	"time"

	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/observer"
)

// term is what a holder knows since it took the lease.
type term struct {
	readyAt  time.Time
	services map[string]*service
	targets  map[string]presence
}

// service is the judgement of one service. Waiting holds the digests for its next round.
type service struct {
	detector  detector.Detector
	ejector   ejector.Ejector
	pending   []observer.Digest
	lastRound time.Time
}

// presence is the last that gates said of a target.
type presence struct {
	service  string
	slots    int
	leaving  bool
	deadline time.Time
}

// Decision is a decision on a target of Service.
type Decision struct {
	Service string
	ejector.Decision
}

// RunRound runs a round at now if the process holds the lease: it judges the evidence that came in, decides on ejections
// and renews the list. Floor returns a service's floor in slots, of slots that are present. A process that lost its lease forgets its term.
func (a *Coordinator) RunRound(now time.Time, floor func(service string, slots int) int) []Decision {
	if !a.candidacy.Holds(now) {
		a.term = nil
		return nil
	}
	a.voteForSelf(now)
	if a.term == nil {
		a.term = newTerm(now, a.method, a.list)
	}
	for _, evidence := range a.evidence {
		a.term.addEvidence(a.method, evidence)
	}
	clear(a.evidence)
	if now.Before(a.term.readyAt) {
		// The list of the holder before counts no longer than it did: capacity may have fallen since it was made.
		return nil
	}
	decisions := a.term.runRound(now, floor)
	a.list = a.term.ejections()
	a.listDeadline = now.Add(ejector.ListLifetime)
	if lease := a.candidacy.Deadline(); lease.Before(a.listDeadline) {
		a.listDeadline = lease
	}
	return decisions
}

// newTerm starts with the list of the holder before, as far as this process knows it.
func newTerm(now time.Time, method detector.Method, list []ejector.Ejection) *term {
	t := &term{readyAt: now.Add(settlingTime), services: make(map[string]*service), targets: make(map[string]presence)}
	entries := make(map[string][]ejector.Ejection)
	for _, entry := range list {
		entries[entry.Service] = append(entries[entry.Service], entry)
	}
	for name, ejected := range entries {
		t.services[name] = &service{detector: detector.New(method), ejector: ejector.New(now, name, ejected)}
	}
	return t
}

func (t *term) addEvidence(method detector.Method, evidence timedDigest) {
	digest := evidence.digest
	deadline := evidence.at.Add(presenceLifetime)
	if digest.Slots > 0 && !deadline.Before(t.targets[digest.Target].deadline) {
		t.targets[digest.Target] = presence{
			service: digest.Service, slots: digest.Slots, leaving: digest.Leaving, deadline: deadline,
		}
	}
	if t.services[digest.Service] == nil {
		t.services[digest.Service] = &service{detector: detector.New(method), ejector: ejector.New(evidence.at, digest.Service, nil)}
	}
	s := t.services[digest.Service]
	s.pending = append(s.pending, digest)
}

func (t *term) runRound(now time.Time, floor func(service string, slots int) int) []Decision {
	present := make(map[string][]ejector.Capacity)
	for target, p := range t.targets {
		if !now.Before(p.deadline) {
			delete(t.targets, target)
			continue
		}
		if !p.leaving {
			present[p.service] = append(present[p.service], ejector.Capacity{Target: target, Slots: p.slots})
		}
	}
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		for _, decision := range t.services[name].runRound(now, present[name], floor(name, totalSlots(present[name]))) {
			decisions = append(decisions, Decision{name, decision})
		}
	}
	return decisions
}

func totalSlots(present []ejector.Capacity) int {
	sum := 0
	for _, capacity := range present {
		sum += capacity.Slots
	}
	return sum
}

func (s *service) runRound(now time.Time, present []ejector.Capacity, floor int) []ejector.Decision {
	excluded := make(map[string]bool)
	for _, entry := range s.ejector.Ejections() {
		excluded[entry.Target] = true
	}
	var verdicts []detector.Verdict
	if len(s.pending) > 0 && now.Sub(s.lastRound) >= minRoundInterval {
		s.lastRound = now
		s.detector, verdicts = s.detector.With(now, s.pending, excluded)
		s.pending = nil
	}
	var decisions []ejector.Decision
	s.ejector, decisions = s.ejector.With(now, ejector.Round{Present: present, Floor: floor, Verdicts: verdicts})
	for _, decision := range decisions {
		// Evidence from before an ejection says nothing of the target after its return.
		if returned, ok := decision.(ejector.Returned); ok {
			s.detector = s.detector.Without(returned.Target)
		}
		if ejected, ok := decision.(ejector.Ejected); ok {
			s.detector = s.detector.Without(ejected.Target)
		}
	}
	return decisions
}

func (t *term) ejections() []ejector.Ejection {
	var entries []ejector.Ejection
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		entries = append(entries, t.services[name].ejector.Ejections()...)
	}
	return entries
}
