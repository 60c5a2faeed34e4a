package replicator

func (s *step) propose(input Propose) {
	if _, leads := s.role.(*leader); !leads {
		s.output.Refused = append(s.output.Refused, input.ID)
		return
	}
	position := s.appendAsLeader(Entry{Data: input.Data})
	s.output.Appended = append(s.output.Appended, Appended{input.ID, position})
}

// appendAsLeader appends entry to this leader's log and sends it to the other members.
func (s *step) appendAsLeader(entry Entry) Position {
	entry.Position = Position{Index: s.lastPosition().Index + 1, Term: s.state.Term}
	s.appendEntries(entry)
	if l, ok := s.role.(*leader); ok {
		s.broadcast(l)
	}
	return entry.Position
}

// broadcast sends each other member the entries that it lacks, or a heartbeat.
func (s *step) broadcast(l *leader) {
	l.heartbeatDeadline = s.now.Add(HeartbeatPeriod)
	for _, member := range s.members.All() {
		if member.Identity != s.self {
			s.sendAppend(l, member.Identity)
		}
	}
}

func (s *step) handleAppend(m Message, request AppendRequest) {
	// All entries that are committed here are in the leader's log too.
	if request.Previous.Index > s.commitIndex {
		term, known := s.termAt(request.Previous.Index)
		if !known || term != request.Previous.Term {
			s.send(m.From, AppendReply{Hint: s.hint(request.Previous.Index), Round: request.Round})
			return
		}
	}
	for i, entry := range request.Entries {
		index := entry.Position.Index
		term, known := s.termAt(index)
		if index <= s.commitIndex || known && term == entry.Position.Term {
			continue
		}
		s.truncate(index)
		s.appendEntries(request.Entries[i:]...)
		break
	}
	match := request.Previous.Index + uint64(len(request.Entries))
	s.commitIndex = max(s.commitIndex, min(request.LeaderCommit, match))
	s.send(m.From, AppendReply{Accepted: true, Match: match, Round: request.Round})
}

// hint returns an index up to which the logs may agree. It skips all entries of the conflicting term.
func (s *step) hint(index uint64) uint64 {
	hint := min(index-1, s.lastPosition().Index)
	term, known := s.termAt(index)
	if !known {
		return hint
	}
	for hint > s.commitIndex {
		if other, ok := s.termAt(hint); !ok || other != term {
			break
		}
		hint--
	}
	return hint
}
