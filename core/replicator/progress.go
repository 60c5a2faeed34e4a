package replicator

import "time"

const (
	maxFlightEntries = 256
	bytesPerSecond   = 1 << 20
)

// progress is what the leader knows of one member. The log agrees up to match; next is the first entry to send. While
// the leader probes, it does not know where the logs agree, and sends one request at a time until one is accepted. Told
// is the newest commit that the member was sent and can act on.
type progress struct {
	match            uint64
	next             uint64
	probing          bool
	told             uint64
	round            uint64
	heardDeadline    time.Time
	resendDeadline   time.Time
	snapshotDeadline time.Time
}

func newProgress(next uint64, now time.Time) progress {
	return progress{next: next, probing: true, heardDeadline: now.Add(ElectionTimeout)}
}

// resendAt returns when bytes that are sent now must have been answered, over a link that is slow and shared.
func resendAt(now time.Time, bytes int) time.Time {
	return now.Add(2*ElectionTimeout + time.Duration(bytes)*time.Second/bytesPerSecond)
}

func size(entries []Entry) int {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Data)
	}
	return bytes
}

// sendAppend sends to what it lacks, unless enough is on its way, or else a heartbeat. Heartbeats name a position that
// is known to agree: they may overtake entries, and must not be refused for that.
func (s *step) sendAppend(l *leader, to Identity) {
	p, ok := l.progress[to]
	if !ok {
		p = newProgress(s.lastPosition().Index+1, s.now)
	}
	if p.next > p.match+1 && !s.now.Before(p.resendDeadline) && !p.probing {
		p.probing, p.next = true, p.match+1
	}
	term, known := s.termAt(p.next - 1)
	switch {
	case s.waits(p):
		s.heartbeat(l, to, p.match)
		p.told = min(s.commit, p.match)
	case !known || p.next < s.First():
		p.snapshotDeadline = resendAt(s.now, len(s.snapshot.Data))
		s.send(to, SnapshotRequest{s.snapshot})
	default:
		entries := s.chunk(p.next)
		previous := Position{Index: p.next - 1, Term: term}
		s.send(to, AppendRequest{Previous: previous, Entries: entries, Commit: s.commit, Round: l.round})
		p.told = min(s.commit, p.next-1+uint64(len(entries)))
		p.resendDeadline = resendAt(s.now, size(entries))
		if !p.probing {
			p.next += uint64(len(entries))
		}
	}
	l.progress[to] = p
}

// waits reports whether there is nothing to send to a member now but heartbeats.
func (s *step) waits(p progress) bool {
	if s.now.Before(p.snapshotDeadline) {
		return true
	}
	if p.probing {
		return s.now.Before(p.resendDeadline)
	}
	return p.next > s.lastPosition().Index || s.busy(p)
}

// heartbeat sends no entries. Every log agrees at index 0.
func (s *step) heartbeat(l *leader, to Identity, index uint64) {
	term, known := s.termAt(index)
	if !known {
		index, term = 0, 0
	}
	s.send(to, AppendRequest{Previous: Position{Index: index, Term: term}, Commit: s.commit, Round: l.round})
}

// busy reports whether enough entries are on their way.
func (s *step) busy(p progress) bool {
	count := p.next - p.match - 1
	if count >= maxFlightEntries {
		return true
	}
	flight := s.from(p.match + 1)
	return size(flight[:min(count, uint64(len(flight)))]) >= maxAppendBytes
}

func (s *step) takeAppendReply(m Message, reply AppendReply) {
	l, ok := s.role.(*leader)
	if !ok {
		return
	}
	p := l.progress[m.From]
	p.round = max(p.round, reply.Round)
	if reply.Accepted {
		p = p.accepted(reply.Match, s.snapshot.Position.Index)
	} else {
		p = p.refused(reply.Hint, s.now)
	}
	l.progress[m.From] = p
	// A reply must not cause a mere heartbeat, which would cause a reply.
	if !s.waits(p) || min(s.commit, p.match) > p.told {
		s.sendAppend(l, m.From)
	}
	s.confirmReads(l)
	s.commitQuorum()
}

func (p progress) accepted(match, snapshot uint64) progress {
	p.match = max(p.match, match)
	if match+1 >= p.next {
		p.probing, p.next = false, match+1
	}
	if p.match >= snapshot {
		p.snapshotDeadline = time.Time{}
	}
	return p
}

// refused steps back to where the logs may agree. A refusal that tells nothing new, as a late or doubled one, is
// ignored, so that nothing is sent twice because of it.
func (p progress) refused(hint uint64, now time.Time) progress {
	next := max(p.match+1, min(p.next, hint+1))
	if p.probing && next == p.next {
		return p
	}
	p.probing, p.next, p.resendDeadline = true, next, now
	return p
}
