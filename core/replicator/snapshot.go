package replicator

// handleSnapshot replaces the log by the leader's snapshot, unless all its entries are already committed here.
func (s *step) handleSnapshot(m Message, snapshot Snapshot) {
	index := snapshot.Position.Index
	if index <= s.commitIndex {
		s.send(m.From, AppendReply{Accepted: true, Match: s.commitIndex})
		return
	}
	term, known := s.termAt(index)
	kept := s.entriesFrom(index + 1)
	if !known || term != snapshot.Position.Term {
		kept = nil
		s.durableIndex = 0
		for i := range s.unsyncedSaves {
			s.unsyncedSaves[i].lastIndex = 0
		}
	}
	s.entries = kept
	s.snapshot = snapshot
	s.commitIndex, s.appliedIndex = index, index
	s.snapshotChanged = true
	s.refreshMembers()
	s.output.Install = &snapshot
	s.send(m.From, AppendReply{Accepted: true, Match: index})
}

// compact replaces the log up to input.Index by a snapshot of this member's applied state.
func (s *step) compact(input Compact) {
	if input.Index <= s.snapshot.Position.Index || input.Index > s.appliedIndex {
		return
	}
	term, _ := s.termAt(input.Index)
	members, _ := s.membersAt(input.Index)
	kept := s.entriesFrom(s.firstKeptIndex(input))
	s.snapshot = Snapshot{Position: Position{Index: input.Index, Term: term}, Members: members, Data: input.Data}
	s.entries = kept
	s.snapshotChanged = true
}

// firstKeptIndex returns the index of the oldest entry that stays in the log after input.
func (r *Replicator) firstKeptIndex(input Compact) uint64 {
	first, bytes := input.Index+1, 0
	oldest := r.FirstIndex()
	for first > oldest && input.Index+1-first < uint64(input.KeepEntries) {
		bytes += len(r.entries[first-1-oldest].Data)
		if bytes > input.KeepBytes {
			break
		}
		first--
	}
	return first
}
