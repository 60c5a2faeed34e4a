package replicator

import "slices"

// commitQuorum commits what a quorum of voters has on disk. Entries of earlier terms are committed only together with
// one of this leader's own term (section 5.4.2 of the paper).
func (s *step) commitQuorum() {
	l, ok := s.role.(*leader)
	if !ok {
		return
	}
	matches := make([]uint64, 0, len(s.members.Voters))
	for _, member := range s.members.Voters {
		if member.Identity == s.self {
			matches = append(matches, s.durable)
			continue
		}
		matches = append(matches, l.progress[member.Identity].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-s.members.quorum()]
	if term, _ := s.termAt(index); index <= s.commit || term != s.state.Term {
		return
	}
	s.commit = index
	s.broadcast(l)
	if s.membersIndex <= s.commit && !s.members.Votes(s.self) {
		s.follow(s.state.Term, "", "this member was removed")
	}
}

// commitsOwn reports whether an entry of this leader's own term is committed. Until then the leader does not know how
// far the log is committed.
func (r *Replicator) commitsOwn() bool {
	term, known := r.termAt(r.commit)
	return known && term == r.state.Term
}

// commitDeliver hands out the entries that became committed.
func (s *step) commitDeliver() {
	if s.commit <= s.applied {
		return
	}
	entries := s.from(s.applied + 1)
	s.output.Committed = entries[:s.commit-s.applied]
	s.applied = s.commit
}
