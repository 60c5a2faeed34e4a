package replicator

// Message goes from one member to another. Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	From Identity
	To   Identity
	Term uint64
	Body Body
}

// Body is VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, ReadRequest or ReadReply.
type Body interface {
	body()
}

// VoteRequest asks for a vote in the message's term, or, if Pre is set, whether a vote would be given. Last is the end
// of the candidate's log.
type VoteRequest struct {
	PreVote bool
	Last    Position
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool
	Granted bool
}

// AppendRequest carries the entries that follow Previous, and is the leader's heartbeat without any. Round lets the
// leader see which of its heartbeats was answered.
type AppendRequest struct {
	Previous     Position
	Entries      []Entry
	LeaderCommit uint64
	Round        uint64
}

// AppendReply answers an AppendRequest or a SnapshotRequest. If it was accepted, the log agrees with the leader's up to
// Match; otherwise it may agree up to Hint.
type AppendReply struct {
	Accepted bool
	Match    uint64
	Hint     uint64
	Round    uint64
}

// SnapshotRequest carries the leader's snapshot to a member whose next entry the leader no longer has.
type SnapshotRequest struct {
	Snapshot Snapshot
}

// ReadRequest asks the leader for an index that a read must wait for.
type ReadRequest struct {
	ID uint64
}

// ReadReply answers a ReadRequest once a quorum has confirmed the leader.
type ReadReply struct {
	ID    uint64
	Index uint64
}

func (VoteRequest) body()     {}
func (VoteReply) body()       {}
func (AppendRequest) body()   {}
func (AppendReply) body()     {}
func (SnapshotRequest) body() {}
func (ReadRequest) body()     {}
func (ReadReply) body()       {}

// needsSync reports whether the body states something that the sender must still know after a restart, so that it may
// only leave once the storage is synced. A leader may send entries before its own copy is synced, since it does not
// count itself until then.
func needsSync(body Body) bool {
	switch body := body.(type) {
	case VoteRequest:
		return !body.PreVote
	case VoteReply:
		return !body.PreVote
	case AppendReply:
		return true
	case AppendRequest, SnapshotRequest, ReadRequest, ReadReply:
	}
	return false
}
