package replicator

// pendingRead waits until a quorum has answered a heartbeat of its round. That shows that no newer leader had committed
// anything when the read arrived (section 6.4 of the dissertation).
type pendingRead struct {
	id    uint64
	from  Identity
	index uint64
	round uint64
}

func (s *step) read(id uint64) {
	switch role := s.role.(type) {
	case *leader:
		if !s.committedInCurrentTerm() {
			s.output.Refused = append(s.output.Refused, id)
			return
		}
		s.startRead(role, pendingRead{id: id, from: s.self})
	case follower:
		if role.leader == "" || !s.now.Before(s.leaseDeadline) {
			s.output.Refused = append(s.output.Refused, id)
			return
		}
		s.send(role.leader, ReadRequest{ID: id})
	case *candidate:
		s.output.Refused = append(s.output.Refused, id)
	}
}

func (s *step) handleReadRequest(m Message, request ReadRequest) {
	if l, ok := s.role.(*leader); ok && s.committedInCurrentTerm() {
		s.startRead(l, pendingRead{id: request.ID, from: m.From})
	}
}

func (s *step) startRead(l *leader, read pendingRead) {
	l.round++
	read.index, read.round = s.commitIndex, l.round
	l.reads = append(l.reads, read)
	s.broadcast(l)
	s.confirmReads(l)
}

func (s *step) confirmReads(l *leader) {
	for len(l.reads) > 0 && s.quorumAnswered(l, l.reads[0].round) {
		read := l.reads[0]
		l.reads = l.reads[1:]
		if read.from == s.self {
			s.output.ConfirmedReads = append(s.output.ConfirmedReads, ConfirmedRead{read.id, read.index})
			continue
		}
		s.send(read.from, ReadReply{ID: read.id, Index: read.index})
	}
}

func (s *step) quorumAnswered(l *leader, round uint64) bool {
	count := 0
	for _, member := range s.members.Voters {
		if member.Identity == s.self || l.progress[member.Identity].round >= round {
			count++
		}
	}
	return count >= s.members.quorum()
}

// rejectReads refuses the pending reads of this leader itself, which it can no longer confirm.
func (s *step) rejectReads() {
	l, ok := s.role.(*leader)
	if !ok {
		return
	}
	for _, read := range l.reads {
		if read.from == s.self {
			s.output.Refused = append(s.output.Refused, read.id)
		}
	}
}
