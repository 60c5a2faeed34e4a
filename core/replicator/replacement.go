package replicator

// addLearner adds a learner if no other change of the membership is under way.
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

// removeMember takes a member out if no other change of the membership is under way.
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

// canChangeMembership reports whether the newest membership and an entry of this leader's own term are committed. Only then may the
// membership change, or two majorities need not meet (Ongaro, raft-dev, July 2015).
func (s *step) canChangeMembership() bool { return s.CanChangeMembership() }

// advanceLearners takes the next step for a learner that has caught up: the member that it replaces is removed first,
// since that one most likely is lost and would only raise the quorum. Then the learner becomes a voter.
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
