package replicator

// bootstrap sets the first membership of a cluster and starts an election. A member that has a membership or any entry
// ignores it.
func (s *step) bootstrap(input Bootstrap) {
	if !s.members.Empty() || s.lastPosition().Index > 0 {
		return
	}
	s.snapshot.Members = input.Members
	s.snapshotChanged = true
	s.refreshMembers()
	s.campaign(true)
}
