package replicator

// Message is sent from one member to another. Messages may be lost, delayed, duplicated and reordered.
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

// VoteRequest asks for a vote in the message's term or, if PreVote is set, whether the receiver would grant one. Last
// is the position of the last entry in the candidate's log.
type VoteRequest struct {
	PreVote bool
	Last    Position
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool
	Granted bool
}

// AppendRequest carries the entries that follow Previous; without entries it is a heartbeat. Round is repeated in the
// reply, so that the leader knows which of its heartbeats was answered.
type AppendRequest struct {
	Previous     Position
	Entries      []Entry
	LeaderCommit uint64
	Round        uint64
}

// AppendReply answers an AppendRequest or a SnapshotRequest. If Accepted is set, the log agrees with the leader's up to
// Match; otherwise the logs may agree up to Hint.
type AppendReply struct {
	Accepted bool
	Match    uint64
	Hint     uint64
	Round    uint64
}

// SnapshotRequest carries the leader's snapshot to a member that lacks entries which the leader no longer has.
type SnapshotRequest struct {
	Snapshot Snapshot
}

// ReadRequest asks the leader for the index that must be applied before a read.
type ReadRequest struct {
	ID uint64
}

// ReadReply answers a ReadRequest after a quorum has confirmed the leader.
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
// be sent only once the state is on disk. A leader may send entries before its own copy is on disk, because it does not
// count itself towards the quorum until then.
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
