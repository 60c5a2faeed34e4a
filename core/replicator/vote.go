package replicator

// campaign asks the other voters for their votes, or first, if pre is set, whether they would give them. Pre-votes do
// not raise the term, so that a member that cannot hear the leader disturbs nobody.
func (s *step) campaign(pre bool) {
	s.resetElectionDeadline()
	if !s.members.IsVoter(s.self) {
		return
	}
	term := s.state.Term + 1
	s.output.RoleChangeReason = "no leader was heard before the deadline"
	if !pre {
		s.state = State{Term: term, Vote: s.self}
		s.output.RoleChangeReason = "a quorum would vote for this member"
	}
	s.role = &candidate{preVote: pre, votes: map[Identity]bool{s.self: true}}
	for _, member := range s.members.Voters {
		if member.Identity != s.self {
			s.sendIn(member.Identity, term, VoteRequest{PreVote: pre, Last: s.lastPosition()})
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

// handleVoteRequest ignores candidates while this member leads or hears a leader (section 4.2.3 of the dissertation).
func (s *step) handleVoteRequest(m Message, request VoteRequest) {
	if _, leads := s.role.(*leader); leads || s.now.Before(s.leaseDeadline) {
		return
	}
	current := !lessUpToDate(request.Last, s.lastPosition())
	if request.PreVote {
		granted := current && m.Term > s.state.Term
		term := s.state.Term
		if granted {
			term = m.Term
		}
		s.sendIn(m.From, term, VoteReply{PreVote: true, Granted: granted})
		return
	}
	if m.Term > s.state.Term {
		s.becomeFollower(m.Term, "", "a candidate has a newer term")
	}
	free := s.state.Vote == "" || s.state.Vote == m.From
	granted := m.Term == s.state.Term && free && current
	if granted {
		s.state.Vote = m.From
		s.resetElectionDeadline()
	}
	s.send(m.From, VoteReply{Granted: granted})
}

func (s *step) handleVoteReply(m Message, reply VoteReply) {
	if !reply.Granted && m.Term > s.state.Term {
		s.becomeFollower(m.Term, "", "a voter has a newer term")
		return
	}
	c, ok := s.role.(*candidate)
	wanted := s.state.Term
	if reply.PreVote {
		wanted++
	}
	if !ok || !reply.Granted || c.preVote != reply.PreVote || m.Term != wanted {
		return
	}
	c.votes[m.From] = true
	s.countVotes()
}

// lessUpToDate reports whether a log that ends at a is less complete than one that ends at b.
func lessUpToDate(a, b Position) bool {
	if a.Term != b.Term {
		return a.Term < b.Term
	}
	return a.Index < b.Index
}
