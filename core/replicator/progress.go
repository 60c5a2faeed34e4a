package replicator

import "time"

const (
	maxInflightEntries = 256
	// minBytesPerSecond is the throughput that a connection to another member is assumed to have at least.
	minBytesPerSecond = 1 << 20
)

// progress is the leader's view of another member's log. The logs agree up to match; next is the first entry to send.
// While probing, the leader does not know where the logs agree, and sends one request at a time until one is accepted.
// sentCommit is the highest commit index that the member was sent together with the entries up to it. round is the last
// heartbeat round that the member answered; the member counts as in contact until activeUntil. Entries are resent after
// resendDeadline, a snapshot after snapshotDeadline, unless they are acknowledged before.
type progress struct {
	match            uint64
	next             uint64
	probing          bool
	sentCommit       uint64
	round            uint64
	activeUntil      time.Time
	resendDeadline   time.Time
	snapshotDeadline time.Time
}

func newProgress(next uint64, now time.Time) progress {
	return progress{next: next, probing: true, activeUntil: now.Add(ElectionTimeout)}
}

// replyDeadline returns the time by which a request of that size must have been answered, over a slow and shared
// connection.
func replyDeadline(now time.Time, bytes int) time.Time {
	return now.Add(2*ElectionTimeout + time.Duration(bytes)*time.Second/minBytesPerSecond)
}

func dataSize(entries []Entry) int {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Data)
	}
	return bytes
}

// sendAppend sends another member the entries or the snapshot that it lacks, or a heartbeat if sending to it is paused.
// A heartbeat names a position at which the logs are known to agree, so that it is not rejected if it overtakes entries.
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
	case s.paused(p):
		s.sendHeartbeat(l, to, p.match)
		p.sentCommit = min(s.commitIndex, p.match)
	case !known || p.next < s.FirstIndex():
		p.snapshotDeadline = replyDeadline(s.now, len(s.snapshot.Data))
		s.send(to, SnapshotRequest{s.snapshot})
	default:
		entries := s.chunkFrom(p.next)
		previous := Position{Index: p.next - 1, Term: term}
		s.send(to, AppendRequest{Previous: previous, Entries: entries, LeaderCommit: s.commitIndex, Round: l.round})
		p.sentCommit = min(s.commitIndex, p.next-1+uint64(len(entries)))
		p.resendDeadline = replyDeadline(s.now, dataSize(entries))
		if !p.probing {
			p.next += uint64(len(entries))
		}
	}
	l.progress[to] = p
}

// paused reports whether a member is sent only heartbeats now: it lacks nothing, or must acknowledge what was sent
// first.
func (s *step) paused(p progress) bool {
	if s.now.Before(p.snapshotDeadline) {
		return true
	}
	if p.probing {
		return s.now.Before(p.resendDeadline)
	}
	return p.next > s.lastPosition().Index || s.inflightFull(p)
}

// sendHeartbeat sends an AppendRequest without entries. If the term at index is not known it names index 0, where all
// logs agree.
func (s *step) sendHeartbeat(l *leader, to Identity, index uint64) {
	term, known := s.termAt(index)
	if !known {
		index, term = 0, 0
	}
	s.send(to, AppendRequest{Previous: Position{Index: index, Term: term}, LeaderCommit: s.commitIndex, Round: l.round})
}

// inflightFull reports whether the entries that were sent but not yet acknowledged have reached a limit.
func (s *step) inflightFull(p progress) bool {
	count := p.next - p.match - 1
	if count >= maxInflightEntries {
		return true
	}
	inflight := s.entriesFrom(p.match + 1)
	return dataSize(inflight[:min(count, uint64(len(inflight)))]) >= maxAppendBytes
}

func (s *step) handleAppendReply(m Message, reply AppendReply) {
	l, ok := s.role.(*leader)
	if !ok {
		return
	}
	p := l.progress[m.From]
	p.round = max(p.round, reply.Round)
	if reply.Accepted {
		p = p.accepted(reply.Match, s.snapshot.Position.Index)
	} else {
		p = p.rejected(reply.Hint, s.now)
	}
	l.progress[m.From] = p
	// A reply must not trigger a heartbeat alone, which would trigger another reply.
	if !s.paused(p) || min(s.commitIndex, p.match) > p.sentCommit {
		s.sendAppend(l, m.From)
	}
	s.confirmReads(l)
	s.advanceCommit()
}

func (p progress) accepted(match, snapshotIndex uint64) progress {
	p.match = max(p.match, match)
	if match+1 >= p.next {
		p.probing, p.next = false, match+1
	}
	if p.match >= snapshotIndex {
		p.snapshotDeadline = time.Time{}
	}
	return p
}

// rejected moves next back to where the logs may agree. A rejection that adds nothing, because it is late or
// duplicated, is ignored, so that it does not cause a retransmission.
func (p progress) rejected(hint uint64, now time.Time) progress {
	next := max(p.match+1, min(p.next, hint+1))
	if p.probing && next == p.next {
		return p
	}
	p.probing, p.next, p.resendDeadline = true, next, now
	return p
}
