package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/replicator"
)

// testMember is member a of a cluster of 3.
type testMember struct {
	replicator.Replicator

	now    time.Time
	random *rand.Rand
}

// newLeader returns a member that leads in term 4 and has one entry of term 2 before its own.
func newLeader() *testMember {
	members := replicator.Membership{Voters: []replicator.Member{{Identity: "a"}, {Identity: "b"}, {Identity: "c"}}}
	m := &testMember{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}
	m.Replicator = replicator.New("a", replicator.Stored{
		State:   replicator.State{Term: 3},
		Entries: []replicator.Entry{{Position: replicator.Position{Index: 1, Term: 2}, Members: &members}},
	}, m.now)
	m.now = m.now.Add(3 * replicator.ElectionTimeout)
	m.apply(replicator.Tick{})
	m.receive(replicator.VoteReply{PreVote: true, Granted: true})
	m.receive(replicator.VoteReply{Granted: true})
	return m
}

// apply handles input and returns the append requests to b that result.
func (m *testMember) apply(input replicator.Input) []replicator.AppendRequest {
	var output replicator.Output
	m.Replicator, output = m.Step(m.now, m.random, input)
	if output.Save != nil {
		m.Replicator, _ = m.Step(m.now, m.random, replicator.Synced{Sequence: output.Save.Sequence})
	}
	var requests []replicator.AppendRequest
	for _, message := range output.Messages {
		if request, ok := message.Body.(replicator.AppendRequest); ok && message.To == "b" {
			requests = append(requests, request)
		}
	}
	return requests
}

func (m *testMember) receive(body replicator.Body) []replicator.AppendRequest {
	return m.receiveFrom("b", body)
}

func (m *testMember) receiveFrom(from replicator.Identity, body replicator.Body) []replicator.AppendRequest {
	return m.apply(replicator.Received{Message: replicator.Message{From: from, To: "a", Term: 4, Body: body}})
}

// TestEntryOfEarlierTermIsNotCommittedAlone is the case of figure 8 of the paper: copies on a quorum do not commit an
// entry of an earlier term, because a leader with a newer entry may still replace it.
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	m := newLeader()
	assert.Assert(t, m.Leads())
	m.receive(replicator.AppendReply{Accepted: true, Match: 1})
	assert.Equal(t, m.CommitIndex(), uint64(0))
	m.receive(replicator.AppendReply{Accepted: true, Match: 2})
	assert.Equal(t, m.CommitIndex(), uint64(2))
}

// TestEntryInFlightIsNotResent has heartbeats overtake a large entry for 1 s. Neither the heartbeats nor their replies
// may cause a second transmission.
func TestEntryInFlightIsNotResent(t *testing.T) {
	m := newLeader()
	m.receive(replicator.AppendReply{Accepted: true, Match: 2})
	requests := m.apply(replicator.Propose{ID: 1, Data: make([]byte, 4<<20)})
	sent := 0
	for range 10 {
		for len(requests) > 0 {
			request := requests[0]
			requests = requests[1:]
			switch {
			case len(request.Entries) > 0:
				sent++
			case request.Previous.Index > 2:
				requests = append(requests, m.receive(replicator.AppendReply{Hint: 2})...)
			default:
				requests = append(requests, m.receive(replicator.AppendReply{Accepted: true, Match: request.Previous.Index})...)
			}
		}
		m.now = m.now.Add(replicator.HeartbeatPeriod)
		requests = m.apply(replicator.Tick{})
	}
	assert.Equal(t, sent, 1)
	assert.Assert(t, m.Leads())
}

// TestCommitIndexIsSentAtOnce has b acknowledge an entry that the leader and c have already committed. The leader must
// send b the new commit index at once, not only with the next heartbeat.
func TestCommitIndexIsSentAtOnce(t *testing.T) {
	m := newLeader()
	m.receive(replicator.AppendReply{Accepted: true, Match: 2})
	m.apply(replicator.Propose{ID: 1, Data: []byte{1}})
	m.receiveFrom("c", replicator.AppendReply{Accepted: true, Match: 3})
	assert.Equal(t, m.CommitIndex(), uint64(3))
	requests := m.receive(replicator.AppendReply{Accepted: true, Match: 3})
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Previous.Index, uint64(3))
	assert.Equal(t, requests[0].LeaderCommit, uint64(3))
	assert.Equal(t, len(m.receive(replicator.AppendReply{Accepted: true, Match: 3})), 0)
}

// TestOneWayPartitions drops the messages to a follower, then those to the leader. The follower must not disturb the
// leader. The leader must be replaced, and must not disturb the new one when it receives messages again.
func TestOneWayPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		leader := s.leaders()[0]
		term := leader.replicator.Term()
		follower := s.machines[(rapid.IntRange(1, 2).Draw(t, "follower")+index(s, leader))%3]
		s.dropMessagesTo(follower)
		s.run(10 * replicator.ElectionTimeout)
		assert.Equal(t, leader.replicator.Term(), term)
		assert.Assert(t, leader.replicator.Leads())
		s.heal()
		s.run(replicator.ElectionTimeout)
		assert.Equal(t, leader.replicator.Term(), term)

		s.dropMessagesTo(leader)
		// Slow syncs can cause several split votes between the two others.
		s.runUntil(20*replicator.ElectionTimeout, "another member leads", func() bool {
			return len(s.leaders()) == 1 && s.leaders()[0] != leader
		})
		next := s.leaders()[0]
		term = next.replicator.Term()
		s.heal()
		s.run(5 * replicator.ElectionTimeout)
		assert.Equal(t, next.replicator.Term(), term)
		assert.Assert(t, next.replicator.Leads())
	})
}

func index(s *simulation, wanted *machine) int {
	for i, m := range s.machines {
		if m == wanted {
			return i
		}
	}
	return -1
}

// dropMessagesTo drops all messages to m but none from it.
func (s *simulation) dropMessagesTo(m *machine) {
	for _, other := range s.machines {
		s.partitions[[2]string{other.name, m.name}] = true
	}
}
