package replicator

// takeSnapshot replaces the log by the leader's snapshot, unless everything in it is committed here already.
func (s *step) takeSnapshot(m Message, snapshot Snapshot) {
	index := snapshot.Position.Index
	if index <= s.commit {
		s.send(m.From, AppendReply{Accepted: true, Match: s.commit})
		return
	}
	term, known := s.termAt(index)
	kept := s.from(index + 1)
	if !known || term != snapshot.Position.Term {
		kept = nil
		s.durable = 0
		for i := range s.unsynced {
			s.unsynced[i].last = 0
		}
	}
	s.entries = kept
	s.snapshot = snapshot
	s.commit, s.applied = index, index
	s.snapshotted = true
	s.findMembers()
	s.output.Install = &snapshot
	s.send(m.From, AppendReply{Accepted: true, Match: index})
}

// compact makes a snapshot of this member's own applied state.
func (s *step) compact(input Compact) {
	if input.Index <= s.snapshot.Position.Index || input.Index > s.applied {
		return
	}
	term, _ := s.termAt(input.Index)
	members, _ := s.membersAt(input.Index)
	kept := s.from(s.firstKept(input))
	s.snapshot = Snapshot{Position: Position{Index: input.Index, Term: term}, Members: members, Data: input.Data}
	s.entries = kept
	s.snapshotted = true
}

func (r *Replicator) firstKept(input Compact) uint64 {
	first, bytes := input.Index+1, 0
	oldest := r.First()
	for first > oldest && input.Index+1-first < uint64(input.KeepEntries) {
		bytes += len(r.entries[first-1-oldest].Data)
		if bytes > input.KeepBytes {
			break
		}
		first--
	}
	return first
}
