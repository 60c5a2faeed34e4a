// Package messenger carries drpc calls between the processes of the fleet. It provides the codec, the mutual
// handshake that admits only processes that hold the fleet's secret, a server and pooled connections.
package messenger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

const (
	maxNesting  = 16
	maxElements = 1 << 20
)

var (
	encodeMode = must(cbor.CoreDetEncOptions().EncMode())
	decodeMode = must(cbor.DecOptions{
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
		// Text of callers and targets need not be UTF-8. One odd text must not make a whole message unreadable.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode())
)

// Encoding is the drpc encoding of the fleet: CBOR with core deterministic encoding.
type Encoding struct{}

var _ drpc.Encoding = Encoding{}

var errEmpty = errors.New("decode message: it is empty")

// Encoded is a message that is already in CBOR form. It is sent unchanged.
type Encoded []byte

// Marshal returns the CBOR form of message.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) {
	if encoded, ok := message.(Encoded); ok {
		return encoded, nil
	}
	return Marshal(message)
}

// Unmarshal reads one CBOR item from buf into message.
func (Encoding) Unmarshal(buf []byte, message drpc.Message) error {
	return Unmarshal(buf, message)
}

// Marshal returns the CBOR form of value.
func Marshal(value any) ([]byte, error) {
	buf, err := encodeMode.Marshal(value)
	return buf, errors.Wrap(err, "encode message")
}

// Unmarshal reads one CBOR item from buf into value. Its memory use is bounded by the length of buf and by maxNesting
// and maxElements. Trailing bytes are an error. The error is never io.EOF, which readers of a body take for its end.
func Unmarshal(buf []byte, value any) error {
	if len(buf) == 0 {
		return errEmpty
	}
	return errors.Wrap(decodeMode.Unmarshal(buf, value), "decode message")
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
