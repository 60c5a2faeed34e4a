package replicator

import (
	"maps"
	"slices"
	"time"
)

// role is follower, *candidate or *leader.
type role interface {
	clone() role
}

// follower appends the entries of leader, which is empty while no leader is known.
type follower struct {
	leader Identity
}

// candidate collects votes or, if preVote is set, pre-votes.
type candidate struct {
	preVote bool
	votes   map[Identity]bool
}

// leader tracks the progress of each other member. round numbers the heartbeats that confirm reads.
type leader struct {
	progress          map[Identity]progress
	heartbeatDeadline time.Time
	round             uint64
	reads             []pendingRead
}

func (f follower) clone() role { return f }

func (c *candidate) clone() role {
	return &candidate{preVote: c.preVote, votes: maps.Clone(c.votes)}
}

func (l *leader) clone() role {
	next := *l
	next.progress = maps.Clone(l.progress)
	next.reads = slices.Clone(l.reads)
	return &next
}

// becomeFollower makes this member a follower in term. leaderID is empty if the leader is not known.
func (s *step) becomeFollower(term uint64, leaderID Identity, reason string) {
	if term > s.state.Term {
		s.state = State{Term: term}
	}
	if old, ok := s.role.(follower); !ok || old.leader != leaderID {
		s.output.RoleChangeReason = reason
	}
	s.rejectReads()
	s.role = follower{leader: leaderID}
	s.resetElectionDeadline()
}

// becomeLeader makes this member the leader. Its first entry repeats the membership: it lets the leader commit the
// entries of earlier leaders (section 5.4.2 of the paper), and tells new members who belongs to the cluster.
func (s *step) becomeLeader() {
	members := s.members
	next := s.lastPosition().Index + 1
	l := &leader{progress: make(map[Identity]progress)}
	s.role = l
	s.output.RoleChangeReason = "a quorum voted for this member"
	for _, member := range members.All() {
		l.progress[member.Identity] = newProgress(next, s.now)
	}
	s.appendAsLeader(Entry{Members: &members})
}

func (s *step) resetElectionDeadline() {
	s.electionDeadline = s.now.Add(ElectionTimeout + time.Duration(s.random.Int64N(int64(ElectionTimeout))))
}

func (s *step) tick() {
	if l, ok := s.role.(*leader); ok {
		s.advanceLearners(l)
		if !s.now.Before(l.heartbeatDeadline) {
			s.broadcast(l)
		}
		return
	}
	if !s.now.Before(s.electionDeadline) {
		s.campaign(true)
	}
}

// checkQuorum ends the leadership of a member that received no message from a quorum for ElectionTimeout.
func (s *step) checkQuorum() {
	l, ok := s.role.(*leader)
	if !ok {
		return
	}
	active := 0
	for _, member := range s.members.Voters {
		if member.Identity == s.self || s.now.Before(l.progress[member.Identity].activeUntil) {
			active++
		}
	}
	if active < s.members.quorum() {
		s.becomeFollower(s.state.Term, "", "no quorum answered this leader")
	}
}
