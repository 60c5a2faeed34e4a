package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/replicator"
)

// solo is one of 3 members, whose only other one that is heard is b.
type solo struct {
	replicator.Replicator

	now    time.Time
	random *rand.Rand
}

// newLeader returns a member that leads in term 4 and holds one entry of term 2 before its own.
func newLeader() *solo {
	members := replicator.Membership{Voters: []replicator.Member{{Identity: "a"}, {Identity: "b"}, {Identity: "c"}}}
	s := &solo{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}
	s.Replicator = replicator.New("a", replicator.Stored{
		State:   replicator.State{Term: 3},
		Entries: []replicator.Entry{{Position: replicator.Position{Index: 1, Term: 2}, Members: &members}},
	}, s.now)
	s.now = s.now.Add(3 * replicator.ElectionTimeout)
	s.take(replicator.Tick{})
	s.hear(replicator.VoteReply{PreVote: true, Granted: true})
	s.hear(replicator.VoteReply{Granted: true})
	return s
}

// take returns the append requests to b that follow from input.
func (s *solo) take(input replicator.Input) []replicator.AppendRequest {
	var output replicator.Output
	s.Replicator, output = s.Step(s.now, s.random, input)
	if output.Save != nil {
		s.Replicator, _ = s.Step(s.now, s.random, replicator.Synced{Sequence: output.Save.Sequence})
	}
	var requests []replicator.AppendRequest
	for _, message := range output.Messages {
		if request, ok := message.Body.(replicator.AppendRequest); ok && message.To == "b" {
			requests = append(requests, request)
		}
	}
	return requests
}

func (s *solo) hear(body replicator.Body) []replicator.AppendRequest {
	return s.hearFrom("b", body)
}

func (s *solo) hearFrom(from replicator.Identity, body replicator.Body) []replicator.AppendRequest {
	return s.take(replicator.Received{Message: replicator.Message{From: from, To: "a", Term: 4, Body: body}})
}

// TestEntryOfEarlierTermIsNotCommittedAlone is figure 8 of the paper: copies on a quorum do not commit an entry of an
// earlier term, since a leader with a newer one may still replace it.
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	s := newLeader()
	assert.Assert(t, s.Leads())
	s.hear(replicator.AppendReply{Accepted: true, Match: 1})
	assert.Equal(t, s.CommitIndex(), uint64(0))
	s.hear(replicator.AppendReply{Accepted: true, Match: 2})
	assert.Equal(t, s.CommitIndex(), uint64(2))
}

// TestEntryOnItsWayIsNotSentAgain has heartbeats overtake a large entry for a second.
func TestEntryOnItsWayIsNotSentAgain(t *testing.T) {
	s := newLeader()
	s.hear(replicator.AppendReply{Accepted: true, Match: 2})
	requests := s.take(replicator.Propose{ID: 1, Data: make([]byte, 4<<20)})
	sent := 0
	for range 10 {
		for len(requests) > 0 {
			request := requests[0]
			requests = requests[1:]
			switch {
			case len(request.Entries) > 0:
				sent++
			case request.Previous.Index > 2:
				requests = append(requests, s.hear(replicator.AppendReply{Hint: 2})...)
			default:
				requests = append(requests, s.hear(replicator.AppendReply{Accepted: true, Match: request.Previous.Index})...)
			}
		}
		s.now = s.now.Add(replicator.HeartbeatPeriod)
		requests = s.take(replicator.Tick{})
	}
	assert.Equal(t, sent, 1)
	assert.Assert(t, s.Leads())
}

// TestCommitIsToldAtOnce has b answer after c and the leader have committed. It must not wait for a heartbeat to learn
// that.
func TestCommitIsToldAtOnce(t *testing.T) {
	s := newLeader()
	s.hear(replicator.AppendReply{Accepted: true, Match: 2})
	s.take(replicator.Propose{ID: 1, Data: []byte{1}})
	s.hearFrom("c", replicator.AppendReply{Accepted: true, Match: 3})
	assert.Equal(t, s.CommitIndex(), uint64(3))
	requests := s.hear(replicator.AppendReply{Accepted: true, Match: 3})
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Previous.Index, uint64(3))
	assert.Equal(t, requests[0].LeaderCommit, uint64(3))
	assert.Equal(t, len(s.hear(replicator.AppendReply{Accepted: true, Match: 3})), 0)
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
