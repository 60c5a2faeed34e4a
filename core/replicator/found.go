package replicator

// bootstrap takes the first membership of a cluster. A member that knows one already, or has any entry, ignores it.
func (s *step) bootstrap(input Bootstrap) {
	if !s.members.Empty() || s.lastPosition().Index > 0 {
		return
	}
	s.snapshot.Members = input.Members
	s.snapshotChanged = true
	s.refreshMembers()
	s.campaign(true)
}
