package replicator

// addLearner adds a learner. It refuses the input if this member does not lead, another change of the membership is in
// progress, or the learner is already a voter.
func (s *step) addLearner(input AddLearner) {
	_, leads := s.role.(*leader)
	if !leads || !s.canChangeMembership() || s.members.IsVoter(input.Learner.Member.Identity) {
		s.output.Refused = append(s.output.Refused, input.ID)
		return
	}
	members := s.members.withLearner(input.Learner)
	position := s.appendAsLeader(Entry{Members: &members})
	s.output.Appended = append(s.output.Appended, Appended{input.ID, position})
}

// removeMember removes a member. It refuses the input if this member does not lead or another change of the membership
// is in progress. This member itself and the only voter cannot be removed.
func (s *step) removeMember(input RemoveMember) {
	_, leads := s.role.(*leader)
	if !leads || !s.canChangeMembership() || input.Member == s.self || !s.members.contains(input.Member) || len(s.members.Voters) < 2 {
		s.output.Refused = append(s.output.Refused, input.ID)
		return
	}
	members := s.members.without(input.Member)
	position := s.appendAsLeader(Entry{Members: &members})
	s.output.Appended = append(s.output.Appended, Appended{input.ID, position})
}

// canChangeMembership reports whether the newest membership and an entry of this leader's own term are committed. A
// change before that could lead to two majorities that do not overlap (Ongaro, raft-dev, July 2015).
func (s *step) canChangeMembership() bool { return s.CanChangeMembership() }

// advanceLearners takes the next step for a learner that has caught up. First the member that it replaces is removed:
// that one is most likely lost, and an additional voter would only enlarge the quorum. Then the learner becomes a
// voter.
func (s *step) advanceLearners(l *leader) {
	if !s.canChangeMembership() {
		return
	}
	for _, learner := range s.members.Learners {
		p := l.progress[learner.Member.Identity]
		if p.match < s.commitIndex || !s.now.Before(p.activeUntil) {
			continue
		}
		next := s.members.withVoter(learner)
		if s.members.IsVoter(learner.Replaces) && len(s.members.Voters) > 1 {
			next = s.members.without(learner.Replaces)
		}
		s.appendAsLeader(Entry{Members: &next})
		return
	}
}
