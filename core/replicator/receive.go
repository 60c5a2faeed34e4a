package replicator

// receive drops messages for another identity and those that cannot concern this member's term.
func (s *step) receive(m Message) {
	if m.To != s.self {
		return
	}
	switch body := m.Body.(type) {
	case VoteRequest:
		s.takeVoteRequest(m, body)
	case VoteReply:
		s.takeVoteReply(m, body)
	case AppendRequest, SnapshotRequest:
		if s.heardLeader(m) {
			s.takeFromLeader(m)
		}
	case AppendReply, ReadRequest:
		if s.heardMember(m) {
			s.takeFromMember(m)
		}
	case ReadReply:
		if m.Term == s.state.Term {
			s.output.Confirmed = append(s.output.Confirmed, Confirmed(body))
		}
	}
}

func (s *step) takeFromLeader(m Message) {
	switch body := m.Body.(type) {
	case AppendRequest:
		s.takeAppend(m, body)
	case SnapshotRequest:
		s.takeSnapshot(m, body.Snapshot)
	default:
	}
}

func (s *step) takeFromMember(m Message) {
	switch body := m.Body.(type) {
	case AppendReply:
		s.takeAppendReply(m, body)
	case ReadRequest:
		s.takeReadRequest(m, body)
	default:
	}
}

// heardLeader follows the leader that sent m. A leader of an older term is told the newer one, so that it steps down.
func (s *step) heardLeader(m Message) bool {
	if m.Term < s.state.Term {
		s.send(m.From, AppendReply{})
		return false
	}
	s.follow(m.Term, m.From, "a leader was heard")
	s.leaseDeadline = s.now.Add(ElectionTimeout)
	return true
}

// heardMember reports whether this member leads in m's term and m is from one of its members. Members that were removed
// cannot end a leadership.
func (s *step) heardMember(m Message) bool {
	l, ok := s.role.(*leader)
	if !ok {
		return false
	}
	p, ok := l.progress[m.From]
	if !ok || !s.members.has(m.From) {
		return false
	}
	if m.Term > s.state.Term {
		s.follow(m.Term, "", "a member has a newer term")
		return false
	}
	if m.Term < s.state.Term {
		return false
	}
	p.heardDeadline = s.now.Add(ElectionTimeout)
	l.progress[m.From] = p
	return true
}
