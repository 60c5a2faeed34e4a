package replicator

// pendingRead waits until a quorum has answered a heartbeat of its round, which shows that no newer leader had
// committed anything when the read came (section 6.4 of the dissertation).
type pendingRead struct {
	id    uint64
	from  Identity
	index uint64
	round uint64
}

func (s *step) read(id uint64) {
	switch role := s.role.(type) {
	case *leader:
		if !s.commitsOwn() {
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

func (s *step) takeReadRequest(m Message, request ReadRequest) {
	if l, ok := s.role.(*leader); ok && s.commitsOwn() {
		s.startRead(l, pendingRead{id: request.ID, from: m.From})
	}
}

func (s *step) startRead(l *leader, read pendingRead) {
	l.round++
	read.index, read.round = s.commit, l.round
	l.reads = append(l.reads, read)
	s.broadcast(l)
	s.confirmReads(l)
}

func (s *step) confirmReads(l *leader) {
	for len(l.reads) > 0 && s.answered(l, l.reads[0].round) {
		read := l.reads[0]
		l.reads = l.reads[1:]
		if read.from == s.self {
			s.output.Confirmed = append(s.output.Confirmed, Confirmed{read.id, read.index})
			continue
		}
		s.send(read.from, ReadReply{ID: read.id, Index: read.index})
	}
}

func (s *step) answered(l *leader, round uint64) bool {
	count := 0
	for _, member := range s.members.Voters {
		if member.Identity == s.self || l.progress[member.Identity].round >= round {
			count++
		}
	}
	return count >= s.members.quorum()
}

// failReads refuses the own reads that a leader can no longer confirm.
func (s *step) failReads() {
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
