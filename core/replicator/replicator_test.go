package replicator_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphiremount.example/core/replicator"
)

func TestThreeMembersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkUnderFaults(t, 3) })
}

func TestFiveMembersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkUnderFaults(t, 5) })
}

// checkUnderFaults runs operators and faults at random. At the end all faults are healed; then a change must be
// accepted and all members must agree.
func checkUnderFaults(t *rapid.T, size int) {
	s := newSimulation(t, size)
	t.Repeat(map[string]func(*rapid.T){
		"change": func(t *rapid.T) { s.change(t); s.run(randomSpan(t)) },
		"race":   func(t *rapid.T) { s.race(t); s.run(randomSpan(t)) },
		"resend": func(t *rapid.T) { s.resend(t); s.run(randomSpan(t)) },
		"read":   func(t *rapid.T) { s.read(s.randomMachine(t)); s.run(randomSpan(t)) },
		"lose":   func(t *rapid.T) { s.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss"); s.run(randomSpan(t)) },
		"cut": func(t *rapid.T) {
			s.partitions[[2]string{s.randomMachine(t).name, s.randomMachine(t).name}] = true
			s.run(randomSpan(t))
		},
		"isolate": func(t *rapid.T) {
			m := s.randomMachine(t)
			for _, other := range s.machines {
				s.partitions[[2]string{m.name, other.name}] = true
				s.partitions[[2]string{other.name, m.name}] = rapid.Bool().Draw(t, "both")
			}
			s.run(randomSpan(t))
		},
		"freeze":  func(t *rapid.T) { s.randomMachine(t).suspended = true; s.run(randomSpan(t)) },
		"stop":    func(t *rapid.T) { s.stopOne(t); s.run(randomSpan(t)) },
		"stopAll": func(t *rapid.T) { s.change(t); s.run(randomSpan(t) / 5); s.stopAll(t); s.run(randomSpan(t)) },
		"stopSome": func(t *rapid.T) {
			s.change(t)
			s.run(randomSpan(t) / 5)
			for _, m := range s.machines {
				if !m.stopped && rapid.Bool().Draw(t, "stop") {
					s.stop(m)
					s.start(m)
				}
			}
			s.run(randomSpan(t))
		},
		"compact": func(t *rapid.T) { s.compact(t); s.run(randomSpan(t)) },
		"wake": func(t *rapid.T) {
			for _, m := range s.machines {
				if m.suspended {
					m.suspended = false
					s.change(t)
					s.read(m)
				}
			}
			s.run(randomSpan(t))
		},
		"heal":    func(t *rapid.T) { s.heal(); s.run(randomSpan(t)) },
		"replace": func(t *rapid.T) { s.loseAndReplace(t) },
	})
	s.settle()
}

func randomSpan(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, 30).Draw(t, "ticks")) * tickPeriod
}

func (s *simulation) randomMachine(t *rapid.T) *machine {
	return s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "machine")]
}

func (s *simulation) change(t *rapid.T) {
	s.nextID++
	s.propose(proposal{fmt.Sprint(s.nextID), 0, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), int(s.nextID)})
}

// race has two operators base a change of the same workspace on the same version.
func (s *simulation) race(t *rapid.T) {
	base := s.randomMachine(t).configuration.Version()
	for range 2 {
		s.nextID++
		s.propose(proposal{fmt.Sprint(s.nextID), base, "a", int(s.nextID)})
		s.run(randomSpan(t) / 10)
	}
}

func (s *simulation) resend(t *rapid.T) {
	if len(s.log) == 0 {
		return
	}
	entry := s.log[rapid.IntRange(0, len(s.log)-1).Draw(t, "entry")]
	if entry.Members == nil {
		s.propose(parseProposal(s.t, entry.Data))
	}
}

// propose sends p to every machine that believes it leads.
func (s *simulation) propose(p proposal) {
	for _, m := range s.leaders() {
		s.nextID++
		data, err := json.Marshal(p)
		if err != nil {
			s.t.Fatal(err)
		}
		s.pendingProposals = append(s.pendingProposals, pendingProposal{m, replicator.Position{Index: s.nextID}, p})
		s.step(m, replicator.Propose{ID: s.nextID, Data: data})
	}
}

func (s *simulation) read(m *machine) {
	if m.stopped || m.suspended {
		return
	}
	s.nextID++
	s.reads[s.nextID] = s.answered
	s.step(m, replicator.Read{ID: s.nextID})
}

func (s *simulation) stopOne(t *rapid.T) {
	if m := s.randomMachine(t); m.stopped {
		s.start(m)
	} else {
		s.stop(m)
	}
}

func (s *simulation) stopAll(t *rapid.T) {
	for _, m := range s.machines {
		if !m.stopped {
			s.stop(m)
		}
	}
	s.run(randomSpan(t))
	for _, m := range s.machines {
		s.start(m)
	}
}

func (s *simulation) compact(t *rapid.T) {
	m := s.randomMachine(t)
	if m.stopped || m.suspended || m.applied == 0 {
		return
	}
	data, err := m.configuration.Encode()
	if err != nil {
		t.Fatal(err)
	}
	keep := rapid.IntRange(0, 3).Draw(t, "keep")
	s.step(m, replicator.Compact{Index: m.applied, KeepEntries: keep, KeepBytes: 1 << 20, Data: data})
}

// loseAndReplace loses a disk while changes are made, and replaces its member. It then does the same again as soon as
// the replacement is a voter.
func (s *simulation) loseAndReplace(t *rapid.T) {
	for range 2 {
		m := s.randomMachine(t)
		s.change(t)
		s.run(randomSpan(t) / 10)
		s.loseDisk(m)
		s.change(t)
		s.run(randomSpan(t))
		s.heal()
		s.runUntil(time.Minute, "the new member is a voter", func() bool {
			s.replace(m)
			return s.members.IsVoter(m.identity) && len(s.members.Voters) == len(s.machines)
		})
	}
}

func (s *simulation) replace(m *machine) {
	old, _ := s.members.VoterByName(m.name)
	learner := replicator.Learner{Member: replicator.Member{Identity: m.identity, Name: m.name}, Replaces: old.Identity}
	for _, l := range s.leaders() {
		for _, known := range l.replicator.Members().All() {
			if known.Identity == m.identity {
				return
			}
		}
		s.nextID++
		s.step(l, replicator.AddLearner{ID: s.nextID, Learner: learner})
	}
}

func (s *simulation) settle() {
	s.heal()
	before := s.confirmed
	s.runUntil(time.Minute, "a change is accepted", func() bool {
		s.nextID++
		s.propose(proposal{fmt.Sprint(s.nextID), 0, "a", int(s.nextID)})
		s.run(4 * tickPeriod)
		_, ok := s.answers[fmt.Sprint(s.nextID-1)]
		return ok
	})
	s.runUntil(time.Minute, "all members have applied the whole log", func() bool {
		for _, m := range s.machines {
			if m.applied != uint64(len(s.log)) {
				return false
			}
		}
		return true
	})
	s.runUntil(time.Minute, "every member can serve a read", func() bool {
		for _, m := range s.machines {
			s.read(m)
		}
		s.run(4 * tickPeriod)
		return s.confirmed >= before+len(s.machines)
	})
}
