package transporter

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/replicator"
)

const (
	callReplicate = "samphire.replicate"
	callIntroduce = "samphire.introduce"
)

// chunkMessage is one chunk of an encoded batchMessage. Last is set on its last chunk.
type chunkMessage struct {
	Data []byte `cbor:"1,keyasint"`
	Last bool   `cbor:"2,keyasint,omitempty"`
}

// ackMessage acknowledges a chunk, so that the sender detects an unresponsive connection. Expands is set by a receiver that
// restores the identities which endpoints leaves out; receivers of earlier versions drop such messages.
type ackMessage struct {
	Expands bool `cbor:"1,keyasint,omitempty"`
}

// batchMessage holds messages that are sent to one process together. With Sender, a receiver can answer even if the
// sender is not in its membership yet. A batch to a receiver that expands leaves it out.
type batchMessage struct {
	Messages []wireMessage      `cbor:"1,keyasint"`
	Sender   *replicator.Member `cbor:"2,keyasint,omitempty"`
}

// wireMessage is a replicator.Message as it is sent. Exactly one of the fields from VoteRequest on is set. An empty From or To
// is that of the message before it on the same stream.
type wireMessage struct {
	From          replicator.Identity  `cbor:"1,keyasint,omitempty"`
	To            replicator.Identity  `cbor:"2,keyasint,omitempty"`
	Term          uint64               `cbor:"3,keyasint"`
	VoteRequest   *wireVoteRequest     `cbor:"4,keyasint,omitempty"`
	VoteReply     *wireVoteReply       `cbor:"5,keyasint,omitempty"`
	AppendRequest *wireAppendRequest   `cbor:"6,keyasint,omitempty"`
	AppendReply   *wireAppendReply     `cbor:"7,keyasint,omitempty"`
	Snapshot      *replicator.Snapshot `cbor:"8,keyasint,omitempty"`
	ReadRequest   *wireRead            `cbor:"9,keyasint,omitempty"`
	ReadReply     *wireRead            `cbor:"10,keyasint,omitempty"`
}

type wireVoteRequest struct {
	PreVote bool                `cbor:"1,keyasint,omitempty"`
	Last    replicator.Position `cbor:"2,keyasint"`
}

type wireVoteReply struct {
	PreVote bool `cbor:"1,keyasint,omitempty"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

type wireAppendRequest struct {
	Previous     replicator.Position `cbor:"1,keyasint"`
	Entries      []replicator.Entry  `cbor:"2,keyasint,omitempty"`
	LeaderCommit uint64              `cbor:"3,keyasint"`
	Round        uint64              `cbor:"4,keyasint"`
}

type wireAppendReply struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Match    uint64 `cbor:"2,keyasint"`
	Hint     uint64 `cbor:"3,keyasint"`
	Round    uint64 `cbor:"4,keyasint"`
}

type wireRead struct {
	ID    uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

func newWireMessage(m replicator.Message) wireMessage {
	wire := wireMessage{From: m.From, To: m.To, Term: m.Term}
	switch body := m.Body.(type) {
	case replicator.VoteRequest:
		wire.VoteRequest = &wireVoteRequest{body.PreVote, body.Last}
	case replicator.VoteReply:
		wire.VoteReply = &wireVoteReply{body.PreVote, body.Granted}
	case replicator.AppendRequest:
		wire.AppendRequest = &wireAppendRequest{body.Previous, body.Entries, body.LeaderCommit, body.Round}
	case replicator.AppendReply:
		wire.AppendReply = &wireAppendReply{body.Accepted, body.Match, body.Hint, body.Round}
	case replicator.SnapshotRequest:
		wire.Snapshot = &body.Snapshot
	case replicator.ReadRequest:
		wire.ReadRequest = &wireRead{ID: body.ID}
	case replicator.ReadReply:
		wire.ReadReply = &wireRead{body.ID, body.Index}
	}
	return wire
}

func (w wireMessage) message() (replicator.Message, error) {
	m := replicator.Message{From: w.From, To: w.To, Term: w.Term}
	switch {
	case w.VoteRequest != nil:
		m.Body = replicator.VoteRequest{PreVote: w.VoteRequest.PreVote, Last: w.VoteRequest.Last}
	case w.VoteReply != nil:
		m.Body = replicator.VoteReply{PreVote: w.VoteReply.PreVote, Granted: w.VoteReply.Granted}
	case w.AppendRequest != nil:
		return w.appendRequest(m)
	case w.AppendReply != nil:
		a := w.AppendReply
		m.Body = replicator.AppendReply{Accepted: a.Accepted, Match: a.Match, Hint: a.Hint, Round: a.Round}
	case w.Snapshot != nil:
		m.Body = replicator.SnapshotRequest{Snapshot: *w.Snapshot}
	case w.ReadRequest != nil:
		m.Body = replicator.ReadRequest{ID: w.ReadRequest.ID}
	case w.ReadReply != nil:
		m.Body = replicator.ReadReply{ID: w.ReadReply.ID, Index: w.ReadReply.Index}
	default:
		return m, errors.New("the message has no body")
	}
	return m, nil
}

// appendRequest sets the body of m to the append request. It returns an error if the entries are not contiguous, as the
// replicator relies on that.
func (w wireMessage) appendRequest(m replicator.Message) (replicator.Message, error) {
	a := w.AppendRequest
	for i, entry := range a.Entries {
		if entry.Position.Index != a.Previous.Index+uint64(i)+1 {
			return m, errors.Newf("append request is not contiguous: entry %d after previous entry %d", entry.Position.Index, a.Previous.Index)
		}
	}
	m.Body = replicator.AppendRequest{Previous: a.Previous, Entries: a.Entries, LeaderCommit: a.LeaderCommit, Round: a.Round}
	return m, nil
}

// introductionMessage is an Introduction as it is sent, in the request by the caller and in the reply by the receiver.
type introductionMessage struct {
	Member    replicator.Member   `cbor:"1,keyasint"`
	InCluster bool                `cbor:"2,keyasint,omitempty"`
	Members   []replicator.Member `cbor:"3,keyasint,omitempty"`
	Known     uint64              `cbor:"4,keyasint,omitempty"`
}

func newIntroductionMessage(i Introduction) introductionMessage {
	return introductionMessage(i)
}

func (m introductionMessage) introduction() Introduction {
	return Introduction(m)
}
