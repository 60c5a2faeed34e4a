package carrier

import (
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
)

const partBytes = 32 << 10

var (
	// ErrCut is returned by a body whose end never came.
	ErrCut = errors.New("body ended before its end mark")
	// ErrDamaged is returned by a body that differs from what its end mark says.
	ErrDamaged = errors.New("body differs from its end mark")
)

// sendBody sends body in parts and closes it with its end. An error of reading ends it without one.
func sendBody(stream drpc.Stream, body io.Reader) error {
	digest := xxhash.New()
	var length uint64
	part := make([]byte, partBytes)
	for {
		n, err := body.Read(part)
		if n > 0 {
			length += uint64(n)
			_, _ = digest.Write(part[:n])
			if err := stream.MsgSend(&frame{framePart, part[:n]}, frameEncoding{}); err != nil {
				return errors.Wrap(err, "send part")
			}
		}
		if errors.Is(err, io.EOF) {
			return send(stream, frameEnd, endBody{Length: length, Sum: digest.Sum64()})
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// bodyReader reads the parts of a body from a stream and checks them against the end mark.
type bodyReader struct {
	stream drpc.Stream
	digest *xxhash.Digest
	length uint64
	frame  frame
	rest   []byte
	err    error
}

func newBodyReader(stream drpc.Stream) *bodyReader {
	return &bodyReader{stream: stream, digest: xxhash.New()}
}

// Read implements io.Reader. It returns io.EOF only for a whole body, and ErrCut or ErrDamaged for any other.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 && r.err == nil {
		r.err = r.next()
	}
	if len(r.rest) == 0 {
		return 0, r.err
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *bodyReader) next() error {
	if err := r.stream.MsgRecv(&r.frame, frameEncoding{}); err != nil {
		return errors.CombineErrors(ErrCut, err)
	}
	switch r.frame.kind {
	case framePart:
		r.length += uint64(len(r.frame.data))
		_, _ = r.digest.Write(r.frame.data)
		r.rest = r.frame.data
		return nil
	case frameEnd:
		return r.checkEnd()
	case frameHead, frameRefused, frameAnswer:
	}
	return errors.Newf("frame %d within a body", r.frame.kind)
}

func (r *bodyReader) checkEnd() error {
	var end endBody
	if err := messenger.Unmarshal(r.frame.data, &end); err != nil {
		return err
	}
	if end.Length != r.length || end.Sum != r.digest.Sum64() {
		return ErrDamaged
	}
	return io.EOF
}
