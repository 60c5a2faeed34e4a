package replicator

// maxAppendBytes bounds the data of one AppendRequest and of the entries in flight to one member.
const maxAppendBytes = 1 << 20

func (r *Replicator) lastPosition() Position {
	if len(r.entries) == 0 {
		return r.snapshot.Position
	}
	return r.entries[len(r.entries)-1].Position
}

// termAt returns the term of the entry at index. It returns false if that entry is not in the log.
func (r *Replicator) termAt(index uint64) (uint64, bool) {
	if index == r.snapshot.Position.Index {
		return r.snapshot.Position.Term, true
	}
	first := r.FirstIndex()
	if index < first || index > r.lastPosition().Index {
		return 0, index == 0
	}
	return r.entries[index-first].Position.Term, true
}

// entriesFrom returns the entries from index on.
func (r *Replicator) entriesFrom(index uint64) []Entry {
	first := r.FirstIndex()
	if index > r.lastPosition().Index {
		return nil
	}
	return r.entries[max(index, first)-first:]
}

// chunkFrom returns the entries from index on, up to maxAppendBytes of data but at least one entry.
func (r *Replicator) chunkFrom(index uint64) []Entry {
	entries := r.entriesFrom(index)
	bytes := 0
	for i, entry := range entries {
		bytes += len(entry.Data)
		if i > 0 && bytes > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// appendEntries appends entries to the log. A membership among them is in force at once.
func (s *step) appendEntries(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	if s.dirtyFrom == 0 {
		s.dirtyFrom = entries[0].Position.Index
	}
	s.dirtyFrom = min(s.dirtyFrom, entries[0].Position.Index)
	s.entries = append(s.entries, entries...)
	for _, entry := range entries {
		if entry.Members != nil {
			s.members, s.membersIndex = *entry.Members, entry.Position.Index
		}
	}
}

// truncate removes the entries from index on.
func (s *step) truncate(index uint64) {
	if index > s.lastPosition().Index {
		return
	}
	s.entries = s.entries[:index-s.FirstIndex()]
	// The capacity is cut so that the next append cannot overwrite entries that an earlier Replicator shares.
	s.entries = s.entries[:len(s.entries):len(s.entries)]
	s.durableIndex = min(s.durableIndex, index-1)
	for i, save := range s.unsyncedSaves {
		s.unsyncedSaves[i].lastIndex = min(save.lastIndex, index-1)
	}
	s.refreshMembers()
}

// refreshMembers sets the membership to that of the newest entry that carries one, or else to that of the snapshot.
func (r *Replicator) refreshMembers() {
	r.members, r.membersIndex = r.membersAt(r.lastPosition().Index)
}

func (r *Replicator) membersAt(index uint64) (Membership, uint64) {
	for i := len(r.entries) - 1; i >= 0; i-- {
		entry := r.entries[i]
		if entry.Members != nil && entry.Position.Index <= index {
			return *entry.Members, entry.Position.Index
		}
	}
	return r.snapshot.Members, r.snapshot.Position.Index
}
