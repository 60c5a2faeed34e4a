package simulator

import (
	"slices"
	"time"

	"samphiremount.example/core/ejector"
	"samphiremount.example/core/escalator"
	"samphiremount.example/core/router"
	"samphiremount.example/core/sampler"
	"samphiremount.example/core/tracker"
)

const (
	// maxTries bounds how many gates a request asks, as the free retries of a node do.
	maxTries = 8
	// hedgeFraction is the fraction of the objective after which a repeatable request is sent to a second target.
	hedgeFraction = 0.5
	// suspectBackoff is how long an entry avoids a target that its gate called suspect.
	suspectBackoff = 300 * time.Millisecond
)

// entry is an entry with what it knows. The slices have an item for each target.
type entry struct {
	router       router.Router
	inFlight     []int
	suspectUntil []time.Time
	ejections    []ejector.Ejection
	listDeadline time.Time
	warmups      router.Warmups
	ejected      map[string]ejector.Ejection
	trials       map[string]sampler.Pace
}

// request is a request with its attempts so far.
type request struct {
	entry      *entry
	repeatable bool
	begun      time.Time
	deadline   time.Time
	hedged     bool
	done       bool
	served     bool
	tried      []string
	attempts   []*attempt
}

// resolve takes the end of an attempt.
func (r *request) resolve(s *simulation, ended *attempt) {
	if r.done {
		return
	}
	r.entry.inFlight[s.index[ended.gate.name]]--
	others := slices.DeleteFunc(slices.Clone(r.attempts), func(a *attempt) bool { return a.end.IsZero() })
	switch {
	case ended.failure == none:
		r.served, r.done = true, true
	case len(others) > 0:
		return
	case r.repeatable && len(r.attempts) == 1 && s.now.Before(r.deadline):
		s.send(r, true)
		r.done = len(r.attempts) == 1
	default:
		r.done = true
	}
	if !r.done {
		return
	}
	for _, other := range others {
		r.entry.inFlight[s.index[other.gate.name]]--
		s.cancel(other)
	}
}

// hedge sends the request to a second target if it is time to.
func (r *request) hedge(s *simulation) {
	delay := time.Duration(hedgeFraction * float64(s.settings.Objective))
	if !r.repeatable || r.hedged || r.done || s.now.Sub(r.begun) < delay {
		return
	}
	r.hedged = true
	s.send(r, true)
}

// send starts an attempt of the request on the first target that admits it.
func (s *simulation) send(r *request, healthyOnly bool) {
	plan := escalator.New(false)
	for range maxTries {
		scope := plan.Scope()
		choice, err := r.entry.router.Choose(s.now, s.random, router.Request{
			Repeatable: r.repeatable, Tried: r.tried, LocalRegion: scope.LocalRegion,
		}, s.candidates(r.entry, scope))
		if err != nil {
			var last bool
			if plan, _, last = plan.WithoutTarget(); last {
				return
			}
			continue
		}
		plan, _ = plan.WithAttempt()
		i := s.index[choice.Placement.Target.Name]
		if choice.Trial {
			r.entry.trials[choice.Placement.Target.Name] = s.newPace()
		}
		r.tried = append(r.tried, choice.Placement.Target.Name)
		admitted, suspect := s.admits(s.gates[i], healthyOnly, scope.AllowSuspect)
		if suspect {
			r.entry.suspectUntil[i] = s.now.Add(suspectBackoff)
		}
		if admitted {
			r.entry.inFlight[i]++
			s.start(r, s.gates[i])
			return
		}
	}
}

// candidates returns the targets that the entry may choose in the scope.
func (s *simulation) candidates(e *entry, scope escalator.Scope) []router.Candidate {
	candidates := make([]router.Candidate, 0, len(s.placements))
	for i, placement := range s.placements {
		if s.now.Before(e.suspectUntil[i]) && !scope.AllowSuspect {
			continue
		}
		candidates = append(candidates, router.Candidate{
			Placement: placement, Load: e.inFlight[i], Status: s.status(e, placement.Target.Name),
		})
	}
	return candidates
}

func (s *simulation) status(e *entry, target string) router.Status {
	ejection, ok := e.ejected[target]
	switch {
	case !ok:
		return e.warmups.Serving(target)
	case ejection.Phase == ejector.Trial:
		if _, known := e.trials[target]; !known {
			e.trials[target] = s.newPace()
		}
		local := s.placements[s.index[target]].Node.Region == e.router.Locality().Region
		return router.Trial{Due: local && e.trials[target].Due(s.now)}
	default:
		return router.Ejected{}
	}
}

// follow takes over the list of ejections that the entry holds, within the floor.
func (s *simulation) follow(e *entry) {
	list := e.ejections
	if !s.now.Before(e.listDeadline) {
		list = nil
	}
	next := ejector.EnforceFloor(list, s.capacities, s.floor(service, s.settings.Targets*s.settings.Slots))
	for target := range e.ejected {
		if _, still := next[target]; !still {
			e.warmups.RecordReturn(s.now, target)
			delete(e.trials, target)
		}
	}
	e.ejected = next
}

// newPace returns the pace of an entry towards a target on trial in its region, of which there are two.
func (s *simulation) newPace() sampler.Pace {
	return sampler.New(s.now, s.random, s.settings.Nodes/2)
}

func placement(name string, node tracker.Node, slots int) tracker.Placement {
	return tracker.Placement{Target: tracker.Target{Name: name, Service: service, Slots: slots}, Node: node}
}
