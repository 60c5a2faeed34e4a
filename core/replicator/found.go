package replicator

// found takes the first membership of a cluster. A member that knows one already, or has any entry, ignores it.
func (s *step) found(input Found) {
	if !s.members.Empty() || s.lastPosition().Index > 0 {
		return
	}
	s.snapshot.Members = input.Members
	s.snapshotted = true
	s.findMembers()
	s.campaign(true)
}
