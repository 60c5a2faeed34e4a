package coordinator

import (
	"maps"
	"slices"
	"time"

	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/observer"
)

// term is the state that a holder collects from the time it gets the lease until it loses it. It makes no decisions
// before readyAt.
type term struct {
	readyAt  time.Time
	services map[string]*service
	targets  map[string]presence
}

// service is the state of outlier detection for one service. pending holds the digests for its next round.
type service struct {
	detector  detector.Detector
	ejector   ejector.Ejector
	pending   []observer.Digest
	lastRound time.Time
}

// presence is the last report of a gate that its target is present. It is valid until deadline.
type presence struct {
	service  string
	slots    int
	leaving  bool
	deadline time.Time
}

// Decision is a decision of an ejector on a target of Service.
type Decision struct {
	Service string
	ejector.Decision
}

// RunRound runs a round at now if the process holds the lease: it evaluates the new evidence, decides on ejections and
// renews the list. floor returns the floor of a service in slots, given the number of slots that are present. A process
// that has lost the lease discards its term.
func (c *Coordinator) RunRound(now time.Time, floor func(service string, slots int) int) []Decision {
	if !c.candidacy.Holds(now) {
		c.term = nil
		return nil
	}
	c.voteForSelf(now)
	if c.term == nil {
		c.term = newTerm(now, c.method, c.list)
	}
	for _, evidence := range c.evidence {
		c.term.addEvidence(c.method, evidence)
	}
	clear(c.evidence)
	if now.Before(c.term.readyAt) {
		// The list of the previous holder is not renewed, since capacity may have fallen since it was made.
		return nil
	}
	decisions := c.term.runRound(now, floor)
	c.list = c.term.ejections()
	c.listDeadline = now.Add(ejector.ListLifetime)
	if lease := c.candidacy.Deadline(); lease.Before(c.listDeadline) {
		c.listDeadline = lease
	}
	return decisions
}

// newTerm returns a term that starts with the list of the previous holder, as far as this process knows it.
func newTerm(now time.Time, method detector.Method, list []ejector.Ejection) *term {
	t := &term{readyAt: now.Add(settlingTime), services: make(map[string]*service), targets: make(map[string]presence)}
	ejections := make(map[string][]ejector.Ejection)
	for _, ejection := range list {
		ejections[ejection.Service] = append(ejections[ejection.Service], ejection)
	}
	for name, ejected := range ejections {
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
	for _, ejection := range s.ejector.Ejections() {
		excluded[ejection.Target] = true
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
		// Evidence from before an ejection or a return is not valid for the target afterwards.
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
	var ejections []ejector.Ejection
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		ejections = append(ejections, t.services[name].ejector.Ejections()...)
	}
	return ejections
}
