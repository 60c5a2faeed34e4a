// Package forwarder sends requests from the node that receives them (the entry) to the node beside the target (the
// gate), and answers back, each on a stream of its own.
package forwarder

import (
	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
)

// The calls between nodes. The clock call reads a gate's clock, the bury call requests a tombstone, the crash call reports
// a request content that crashed a target, and the crashes call reads all that a gate knows of them.
const (
	callForward   = "carry"
	callClock     = "clock"
	callTombstone = "bury"
	callCrash     = "crash"
	callCrashes   = "crashes"
)

// frameKind is the first byte of each message.
type frameKind byte

const (
	frameHead frameKind = iota + 1
	frameChunk
	frameEnd
	frameRefusal
	frameAnswer
	frameProgress
)

// frame is one message. Its data is the bytes of a body chunk, or the CBOR encoding of the message that kind names.
type frame struct {
	kind frameKind
	data []byte
}

// endMessage ends a body. It holds the body's length in bytes and its xxHash64. A body without it is truncated.
type endMessage struct {
	Length  uint64              `cbor:"1,keyasint"`
	Sum     uint64              `cbor:"2,keyasint"`
	Trailer map[string][]string `cbor:"3,keyasint,omitempty"`
}

type refusalMessage struct {
	Kind     string `cbor:"1,keyasint"`
	Outcome  string `cbor:"2,keyasint"`
	Detail   string `cbor:"3,keyasint,omitempty"`
	GateTime int64  `cbor:"4,keyasint"`
	Load     int    `cbor:"5,keyasint,omitempty"`
	// RetryAfter is in milliseconds, or 0 if the gate does not know when a retry may succeed.
	RetryAfter int64            `cbor:"6,keyasint,omitempty"`
	Verdicts   []verdictMessage `cbor:"7,keyasint,omitempty"`
}

// progressMessage shows that the connection and the gate are alive. Running is true once the request went to the
// target.
//
// Grants is set by gates that grant withheld bodies, and Granted once the gate is ready for the body of this request.
type progressMessage struct {
	Running bool `cbor:"1,keyasint"`
	Grants  bool `cbor:"2,keyasint,omitempty"`
	Granted bool `cbor:"3,keyasint,omitempty"`
}

// headMessage is the wire form of Head. Remaining, ObjectiveDeadline and Objective are durations in
// milliseconds, because the clocks of two VMs can't be compared.
type headMessage struct {
	AttemptID         string              `cbor:"1,keyasint"`
	Incarnation       uint64              `cbor:"2,keyasint"`
	Target            string              `cbor:"3,keyasint"`
	Service           string              `cbor:"4,keyasint"`
	Workspace         string              `cbor:"5,keyasint,omitempty"`
	Repeatable        bool                `cbor:"6,keyasint,omitempty"`
	Remaining         int64               `cbor:"7,keyasint"`
	Method            string              `cbor:"8,keyasint"`
	URI               string              `cbor:"9,keyasint"`
	Host              string              `cbor:"10,keyasint,omitempty"`
	Header            map[string][]string `cbor:"11,keyasint,omitempty"`
	Length            int64               `cbor:"12,keyasint"`
	StartBefore       int64               `cbor:"13,keyasint"`
	Trailer           []string            `cbor:"14,keyasint,omitempty"`
	Weight            int                 `cbor:"15,keyasint,omitempty"`
	RequestID         string              `cbor:"16,keyasint,omitempty"`
	Origin            string              `cbor:"17,keyasint,omitempty"`
	Rank              int                 `cbor:"18,keyasint,omitempty"`
	ObjectiveDeadline int64               `cbor:"19,keyasint,omitempty"`
	AllowSuspect      bool                `cbor:"20,keyasint,omitempty"`
	Objective         int64               `cbor:"21,keyasint,omitempty"`
	HealthyOnly       bool                `cbor:"22,keyasint,omitempty"`
	Immediate         bool                `cbor:"23,keyasint,omitempty"`
	Nested            bool                `cbor:"24,keyasint,omitempty"`
	Repeat            float64             `cbor:"25,keyasint,omitempty"`
	Limited           bool                `cbor:"26,keyasint,omitempty"`
	Limit             float64             `cbor:"27,keyasint,omitempty"`
	Withheld          bool                `cbor:"28,keyasint,omitempty"`
	Upload            bool                `cbor:"29,keyasint,omitempty"`
	Verdicts          []verdictMessage    `cbor:"30,keyasint,omitempty"`
	Retried           bool                `cbor:"35,keyasint,omitempty"`
}

type answerMessage struct {
	ID     string              `cbor:"1,keyasint"`
	Status int                 `cbor:"2,keyasint"`
	Header map[string][]string `cbor:"3,keyasint,omitempty"`
	// GateTime is the gate's clock at the time when the gate sent the answer.
	GateTime int64            `cbor:"4,keyasint"`
	Verdicts []verdictMessage `cbor:"5,keyasint,omitempty"`
}

// frameEncoding encodes a frame as one byte for its kind, followed by its data.
type frameEncoding struct{}

var errNotFrame = errors.New("message is not a frame")

func (frameEncoding) Marshal(message drpc.Message) ([]byte, error) {
	f, ok := message.(*frame)
	if !ok {
		return nil, errNotFrame
	}
	return append([]byte{byte(f.kind)}, f.data...), nil
}

func (frameEncoding) Unmarshal(buf []byte, message drpc.Message) error {
	f, ok := message.(*frame)
	if !ok || len(buf) == 0 {
		return errNotFrame
	}
	f.kind = frameKind(buf[0])
	f.data = append(f.data[:0], buf[1:]...)
	return nil
}

func send(stream drpc.Stream, kind frameKind, body any) error {
	data, err := messenger.Marshal(body)
	if err != nil {
		return err
	}
	return errors.Wrap(stream.MsgSend(&frame{kind, data}, frameEncoding{}), "send frame")
}
