package replicator

// campaign asks the other voters for their votes or, if preVote is set, first for pre-votes. Pre-votes do not raise the
// term, so that a member that cannot receive from the leader does not disturb the cluster.
func (s *step) campaign(preVote bool) {
	s.resetElectionDeadline()
	if !s.members.IsVoter(s.self) {
		return
	}
	term := s.state.Term + 1
	s.output.RoleChangeReason = "no contact with a leader before the election deadline"
	if !preVote {
		s.state = State{Term: term, Vote: s.self}
		s.output.RoleChangeReason = "a quorum would vote for this member"
	}
	s.role = &candidate{preVote: preVote, votes: map[Identity]bool{s.self: true}}
	for _, member := range s.members.Voters {
		if member.Identity != s.self {
			s.sendIn(member.Identity, term, VoteRequest{PreVote: preVote, Last: s.lastPosition()})
		}
	}
	s.countVotes()
}

func (s *step) countVotes() {
	c, ok := s.role.(*candidate)
	if !ok {
		return
	}
	votes := 0
	for _, member := range s.members.Voters {
		if c.votes[member.Identity] {
			votes++
		}
	}
	switch {
	case votes < s.members.quorum():
	case c.preVote:
		s.campaign(false)
	default:
		s.becomeLeader()
	}
}

// handleVoteRequest ignores candidates while this member leads or is in contact with a leader (section 4.2.3 of the
// dissertation).
func (s *step) handleVoteRequest(m Message, request VoteRequest) {
	if _, leads := s.role.(*leader); leads || s.now.Before(s.leaseDeadline) {
		return
	}
	upToDate := !lessUpToDate(request.Last, s.lastPosition())
	if request.PreVote {
		granted := upToDate && m.Term > s.state.Term
		term := s.state.Term
		if granted {
			term = m.Term
		}
		s.sendIn(m.From, term, VoteReply{PreVote: true, Granted: granted})
		return
	}
	if m.Term > s.state.Term {
		s.becomeFollower(m.Term, "", "a candidate has a higher term")
	}
	canVote := s.state.Vote == "" || s.state.Vote == m.From
	granted := m.Term == s.state.Term && canVote && upToDate
	if granted {
		s.state.Vote = m.From
		s.resetElectionDeadline()
	}
	s.send(m.From, VoteReply{Granted: granted})
}

func (s *step) handleVoteReply(m Message, reply VoteReply) {
	if !reply.Granted && m.Term > s.state.Term {
		s.becomeFollower(m.Term, "", "a voter has a higher term")
		return
	}
	c, ok := s.role.(*candidate)
	expectedTerm := s.state.Term
	if reply.PreVote {
		expectedTerm++
	}
	if !ok || !reply.Granted || c.preVote != reply.PreVote || m.Term != expectedTerm {
		return
	}
	c.votes[m.From] = true
	s.countVotes()
}

// lessUpToDate reports whether a log that ends at a is less up to date than one that ends at b (section 5.4.1 of the
// paper).
func lessUpToDate(a, b Position) bool {
	if a.Term != b.Term {
		return a.Term < b.Term
	}
	return a.Index < b.Index
}
