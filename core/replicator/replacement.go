package replicator

// replace adds a learner if no other change of the membership is under way.
func (s *step) replace(input Replace) {
	_, leads := s.role.(*leader)
	if !leads || !s.settled() || s.members.Votes(input.Learner.Member.Identity) {
		s.output.Refused = append(s.output.Refused, input.ID)
		return
	}
	members := s.members.withLearner(input.Learner)
	position := s.appendOwn(Entry{Members: &members})
	s.output.Appended = append(s.output.Appended, Appended{input.ID, position})
}

// remove takes a member out if no other change of the membership is under way.
func (s *step) remove(input Remove) {
	_, leads := s.role.(*leader)
	if !leads || !s.settled() || input.Member == s.self || !s.members.has(input.Member) || len(s.members.Voters) < 2 {
		s.output.Refused = append(s.output.Refused, input.ID)
		return
	}
	members := s.members.without(input.Member)
	position := s.appendOwn(Entry{Members: &members})
	s.output.Appended = append(s.output.Appended, Appended{input.ID, position})
}

// settled reports whether the newest membership and an entry of this leader's own term are committed. Only then may the
// membership change, or two majorities need not meet (Ongaro, raft-dev, July 2015).
func (s *step) settled() bool { return s.Settled() }

// driveReplacement takes the next step for a learner that has caught up: the member that it replaces is removed first,
// since that one most likely is lost and would only raise the quorum. Then the learner becomes a voter.
func (s *step) driveReplacement(l *leader) {
	if !s.settled() {
		return
	}
	for _, learner := range s.members.Learners {
		p := l.progress[learner.Member.Identity]
		if p.match < s.commit || !s.now.Before(p.heardDeadline) {
			continue
		}
		next := s.members.withVoter(learner)
		if s.members.Votes(learner.Replaces) && len(s.members.Voters) > 1 {
			next = s.members.without(learner.Replaces)
		}
		s.appendOwn(Entry{Members: &next})
		return
	}
}
