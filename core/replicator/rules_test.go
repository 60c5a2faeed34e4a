package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/replicator"
)

// TestEntryOfEarlierTermIsNotCommittedAlone is figure 8 of the paper: copies on a quorum do not commit an entry of an
// earlier term, since a leader with a newer one may still replace it.
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	members := replicator.Membership{Voters: []replicator.Member{{Identity: "a"}, {Identity: "b"}, {Identity: "c"}}}
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	r := replicator.New("a", replicator.Stored{
		State:   replicator.State{Term: 3},
		Entries: []replicator.Entry{{Position: replicator.Position{Index: 1, Term: 2}, Members: &members}},
	}, now)
	step := func(input replicator.Input) {
		var output replicator.Output
		r, output = r.Step(now, random, input)
		if output.Save != nil {
			r, _ = r.Step(now, random, replicator.Synced{Sequence: output.Save.Sequence})
		}
	}
	reply := func(term uint64, body replicator.Body) {
		step(replicator.Received{Message: replicator.Message{From: "b", To: "a", Term: term, Body: body}})
	}
	now = now.Add(3 * replicator.ElectionTimeout)
	step(replicator.Tick{})
	reply(4, replicator.VoteReply{Pre: true, Granted: true})
	reply(4, replicator.VoteReply{Granted: true})
	assert.Assert(t, r.Leads())
	reply(4, replicator.AppendReply{Accepted: true, Match: 1})
	assert.Equal(t, r.Commit(), uint64(0))
	reply(4, replicator.AppendReply{Accepted: true, Match: 2})
	assert.Equal(t, r.Commit(), uint64(2))
}

// TestOneWayCuts has a follower that cannot hear, then a leader that cannot hear. The first disturbs nobody; the second
// is replaced, and disturbs nobody when it hears again.
func TestOneWayCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		leader := w.leaders()[0]
		term := leader.replicator.Term()
		deaf := w.machines[(rapid.IntRange(1, 2).Draw(t, "follower")+index(w, leader))%3]
		w.deafen(deaf)
		w.run(10 * replicator.ElectionTimeout)
		assert.Equal(t, leader.replicator.Term(), term)
		assert.Assert(t, leader.replicator.Leads())
		w.heal()
		w.run(replicator.ElectionTimeout)
		assert.Equal(t, leader.replicator.Term(), term)

		w.deafen(leader)
		// Slow syncs let the two others split their votes several times.
		w.until(20*replicator.ElectionTimeout, "another leads", func() bool {
			return len(w.leaders()) == 1 && w.leaders()[0] != leader
		})
		next := w.leaders()[0]
		term = next.replicator.Term()
		w.heal()
		w.run(5 * replicator.ElectionTimeout)
		assert.Equal(t, next.replicator.Term(), term)
		assert.Assert(t, next.replicator.Leads())
	})
}

func index(w *world, wanted *machine) int {
	for i, m := range w.machines {
		if m == wanted {
			return i
		}
	}
	return -1
}

// deafen drops all messages to m but none from it.
func (w *world) deafen(m *machine) {
	for _, other := range w.machines {
		w.cuts[[2]string{other.name, m.name}] = true
	}
}
