package replicator

import "slices"

// advanceCommit commits the entries that a quorum of voters has on disk. Entries of earlier terms are committed only
// together with an entry of this leader's own term (section 5.4.2 of the paper).
func (s *step) advanceCommit() {
	l, ok := s.role.(*leader)
	if !ok {
		return
	}
	matches := make([]uint64, 0, len(s.members.Voters))
	for _, member := range s.members.Voters {
		if member.Identity == s.self {
			matches = append(matches, s.durableIndex)
			continue
		}
		matches = append(matches, l.progress[member.Identity].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-s.members.quorum()]
	if term, _ := s.termAt(index); index <= s.commitIndex || term != s.state.Term {
		return
	}
	s.commitIndex = index
	s.broadcast(l)
	if s.membersIndex <= s.commitIndex && !s.members.IsVoter(s.self) {
		s.becomeFollower(s.state.Term, "", "this member was removed")
	}
}

// committedInCurrentTerm reports whether an entry of the current term is committed. Until then a leader does not know
// how far the log is committed.
func (r *Replicator) committedInCurrentTerm() bool {
	term, known := r.termAt(r.commitIndex)
	return known && term == r.state.Term
}

// deliverCommitted adds the newly committed entries to the output.
func (s *step) deliverCommitted() {
	if s.commitIndex <= s.appliedIndex {
		return
	}
	entries := s.entriesFrom(s.appliedIndex + 1)
	s.output.Committed = entries[:s.commitIndex-s.appliedIndex]
	s.appliedIndex = s.commitIndex
}
