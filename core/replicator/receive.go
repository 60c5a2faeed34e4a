package replicator

// receive handles m. It drops messages to another identity and those that do not concern this member in its term.
func (s *step) receive(m Message) {
	if m.To != s.self {
		return
	}
	switch body := m.Body.(type) {
	case VoteRequest:
		s.handleVoteRequest(m, body)
	case VoteReply:
		s.handleVoteReply(m, body)
	case AppendRequest, SnapshotRequest:
		if s.acceptLeader(m) {
			s.handleLeaderMessage(m)
		}
	case AppendReply, ReadRequest:
		if s.acceptMember(m) {
			s.handleMemberMessage(m)
		}
	case ReadReply:
		if m.Term == s.state.Term {
			s.output.ConfirmedReads = append(s.output.ConfirmedReads, ConfirmedRead(body))
		}
	}
}

func (s *step) handleLeaderMessage(m Message) {
	switch body := m.Body.(type) {
	case AppendRequest:
		s.handleAppend(m, body)
	case SnapshotRequest:
		s.handleSnapshot(m, body.Snapshot)
	default:
	}
}

func (s *step) handleMemberMessage(m Message) {
	switch body := m.Body.(type) {
	case AppendReply:
		s.handleAppendReply(m, body)
	case ReadRequest:
		s.handleReadRequest(m, body)
	default:
	}
}

// acceptLeader makes this member a follower of the sender of m and returns true. If the sender's term is outdated, it
// replies with the current term instead, so that the sender steps down, and returns false.
func (s *step) acceptLeader(m Message) bool {
	if m.Term < s.state.Term {
		s.send(m.From, AppendReply{})
		return false
	}
	s.becomeFollower(m.Term, m.From, "a leader sent a message")
	s.leaseDeadline = s.now.Add(ElectionTimeout)
	return true
}

// acceptMember reports whether this member leads in the term of m and the sender is a member of the cluster. If a member
// has a higher term, this leader steps down; processes that are no longer members cannot end its leadership.
func (s *step) acceptMember(m Message) bool {
	l, ok := s.role.(*leader)
	if !ok {
		return false
	}
	p, ok := l.progress[m.From]
	if !ok || !s.members.contains(m.From) {
		return false
	}
	if m.Term > s.state.Term {
		s.becomeFollower(m.Term, "", "a member has a higher term")
		return false
	}
	if m.Term < s.state.Term {
		return false
	}
	p.activeUntil = s.now.Add(ElectionTimeout)
	l.progress[m.From] = p
	return true
}
