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
	w := newWorld(t, size)
	t.Repeat(map[string]func(*rapid.T){
		"change": func(t *rapid.T) { w.change(t); w.run(randomSpan(t)) },
		"race":   func(t *rapid.T) { w.race(t); w.run(randomSpan(t)) },
		"resend": func(t *rapid.T) { w.resend(t); w.run(randomSpan(t)) },
		"read":   func(t *rapid.T) { w.read(w.randomMachine(t)); w.run(randomSpan(t)) },
		"lose":   func(t *rapid.T) { w.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss"); w.run(randomSpan(t)) },
		"cut": func(t *rapid.T) {
			w.partitions[[2]string{w.randomMachine(t).name, w.randomMachine(t).name}] = true
			w.run(randomSpan(t))
		},
		"isolate": func(t *rapid.T) {
			m := w.randomMachine(t)
			for _, other := range w.machines {
				w.partitions[[2]string{m.name, other.name}] = true
				w.partitions[[2]string{other.name, m.name}] = rapid.Bool().Draw(t, "both")
			}
			w.run(randomSpan(t))
		},
		"freeze":  func(t *rapid.T) { w.randomMachine(t).suspended = true; w.run(randomSpan(t)) },
		"stop":    func(t *rapid.T) { w.stopOne(t); w.run(randomSpan(t)) },
		"stopAll": func(t *rapid.T) { w.change(t); w.run(randomSpan(t) / 5); w.stopAll(t); w.run(randomSpan(t)) },
		"stopSome": func(t *rapid.T) {
			w.change(t)
			w.run(randomSpan(t) / 5)
			for _, m := range w.machines {
				if !m.stopped && rapid.Bool().Draw(t, "stop") {
					w.stop(m)
					w.start(m)
				}
			}
			w.run(randomSpan(t))
		},
		"compact": func(t *rapid.T) { w.compact(t); w.run(randomSpan(t)) },
		"wake": func(t *rapid.T) {
			for _, m := range w.machines {
				if m.suspended {
					m.suspended = false
					w.change(t)
					w.read(m)
				}
			}
			w.run(randomSpan(t))
		},
		"heal":    func(t *rapid.T) { w.heal(); w.run(randomSpan(t)) },
		"replace": func(t *rapid.T) { w.loseAndReplace(t) },
	})
	w.settle()
}

func randomSpan(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, 30).Draw(t, "ticks")) * tickPeriod
}

func (w *world) randomMachine(t *rapid.T) *machine {
	return w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(t, "machine")]
}

func (w *world) change(t *rapid.T) {
	w.nextID++
	w.propose(proposal{fmt.Sprint(w.nextID), 0, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), int(w.nextID)})
}

// race has two operators base a change of the same workspace on the same version.
func (w *world) race(t *rapid.T) {
	base := w.randomMachine(t).configuration.Version()
	for range 2 {
		w.nextID++
		w.propose(proposal{fmt.Sprint(w.nextID), base, "a", int(w.nextID)})
		w.run(randomSpan(t) / 10)
	}
}

func (w *world) resend(t *rapid.T) {
	if len(w.log) == 0 {
		return
	}
	entry := w.log[rapid.IntRange(0, len(w.log)-1).Draw(t, "entry")]
	if entry.Members == nil {
		w.propose(parseProposal(w.t, entry.Data))
	}
}

// propose sends p to every machine that believes it leads.
func (w *world) propose(p proposal) {
	for _, m := range w.leaders() {
		w.nextID++
		data, err := json.Marshal(p)
		if err != nil {
			w.t.Fatal(err)
		}
		w.pendingProposals = append(w.pendingProposals, pendingProposal{m, replicator.Position{Index: w.nextID}, p})
		w.step(m, replicator.Propose{ID: w.nextID, Data: data})
	}
}

func (w *world) read(m *machine) {
	if m.stopped || m.suspended {
		return
	}
	w.nextID++
	w.reads[w.nextID] = w.answered
	w.step(m, replicator.Read{ID: w.nextID})
}

func (w *world) stopOne(t *rapid.T) {
	if m := w.randomMachine(t); m.stopped {
		w.start(m)
	} else {
		w.stop(m)
	}
}

func (w *world) stopAll(t *rapid.T) {
	for _, m := range w.machines {
		if !m.stopped {
			w.stop(m)
		}
	}
	w.run(randomSpan(t))
	for _, m := range w.machines {
		w.start(m)
	}
}

func (w *world) compact(t *rapid.T) {
	m := w.randomMachine(t)
	if m.stopped || m.suspended || m.applied == 0 {
		return
	}
	data, err := m.configuration.Encode()
	if err != nil {
		t.Fatal(err)
	}
	keep := rapid.IntRange(0, 3).Draw(t, "keep")
	w.step(m, replicator.Compact{Index: m.applied, KeepEntries: keep, KeepBytes: 1 << 20, Data: data})
}

// loseAndReplace loses a disk while changes are made, and replaces its member. It then does the same again as soon as
// the replacement is a voter.
func (w *world) loseAndReplace(t *rapid.T) {
	for range 2 {
		m := w.randomMachine(t)
		w.change(t)
		w.run(randomSpan(t) / 10)
		w.loseDisk(m)
		w.change(t)
		w.run(randomSpan(t))
		w.heal()
		w.runUntil(time.Minute, "the new member is a voter", func() bool {
			w.replace(m)
			return w.members.IsVoter(m.identity) && len(w.members.Voters) == len(w.machines)
		})
	}
}

func (w *world) replace(m *machine) {
	old, _ := w.members.VoterByName(m.name)
	learner := replicator.Learner{Member: replicator.Member{Identity: m.identity, Name: m.name}, Replaces: old.Identity}
	for _, l := range w.leaders() {
		for _, known := range l.replicator.Members().All() {
			if known.Identity == m.identity {
				return
			}
		}
		w.nextID++
		w.step(l, replicator.AddLearner{ID: w.nextID, Learner: learner})
	}
}

func (w *world) settle() {
	w.heal()
	before := w.confirmed
	w.runUntil(time.Minute, "a change is accepted", func() bool {
		w.nextID++
		w.propose(proposal{fmt.Sprint(w.nextID), 0, "a", int(w.nextID)})
		w.run(4 * tickPeriod)
		_, ok := w.answers[fmt.Sprint(w.nextID-1)]
		return ok
	})
	w.runUntil(time.Minute, "all members have applied the whole log", func() bool {
		for _, m := range w.machines {
			if m.applied != uint64(len(w.log)) {
				return false
			}
		}
		return true
	})
	w.runUntil(time.Minute, "every member can serve a read", func() bool {
		for _, m := range w.machines {
			w.read(m)
		}
		w.run(4 * tickPeriod)
		return w.confirmed >= before+len(w.machines)
	})
}
