package forwarder

import (
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
)

const chunkBytes = 32 << 10

var (
	// ErrTruncated is returned when a body ends without its end frame.
	ErrTruncated = errors.New("body ended without its end frame")
	// ErrCorrupted is returned when the length or the checksum of a body differs from its end frame.
	ErrCorrupted = errors.New("length or checksum of body differs from its end frame")

	// ErrBodyConsumed is returned by the source of a body which an earlier attempt has read further than its entry keeps.
	ErrBodyConsumed = errors.New("an earlier attempt has used the body")

	errBodySource = errors.New("failed to read body from its source")
)

// TrailerBody is a body that may have trailers. Trailer is complete only after the body was read to its end.
type TrailerBody interface {
	Trailer() http.Header
}

// Awaiter is a body that can be waited for. Await returns nil once a part of it is here to be read, and else what a Read would
// return.
type Awaiter interface {
	Await() error
}

// Aborter is a body whose reads can be ended from elsewhere. They then return ErrTruncated.
type Aborter interface {
	Abort()
}

// sendBody sends body in chunks, followed by the end frame. If reading body fails, no end frame is sent, so that the
// receiver sees a truncated body.
func sendBody(stream drpc.Stream, body io.Reader) error {
	digest := xxhash.New()
	var length uint64
	chunk := make([]byte, chunkBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			length += uint64(n)
			_, _ = digest.Write(chunk[:n])
			if err := stream.MsgSend(&frame{frameChunk, chunk[:n]}, frameEncoding{}); err != nil {
				return errors.Wrap(err, "send chunk")
			}
		}
		if errors.Is(err, io.EOF) {
			end := endMessage{Length: length, Sum: digest.Sum64()}
			if trailerBody, ok := body.(TrailerBody); ok {
				end.Trailer = trailerBody.Trailer()
			}
			return send(stream, frameEnd, end)
		}
		if err != nil {
			return errors.Mark(err, errBodySource)
		}
	}
}

// bodyReader reads the chunks of a body from a stream and checks them against the end frame. It is safe for
// concurrent use, because a caller may abandon a Read that still blocks.
type bodyReader struct {
	receive func(into *frame) error

	mu      sync.Mutex
	digest  *xxhash.Digest
	length  uint64
	frame   frame
	unread  []byte
	trailer http.Header
	err     error
}

// newBodyReader returns a bodyReader of the frames that receive delivers.
func newBodyReader(receive func(into *frame) error) *bodyReader {
	return &bodyReader{receive: receive, digest: xxhash.New()}
}

func receiveFrom(stream drpc.Stream) func(into *frame) error {
	return func(into *frame) error {
		return errors.Wrap(stream.MsgRecv(into, frameEncoding{}), "receive frame")
	}
}

// Read implements io.Reader. It returns io.EOF only for a complete body, and ErrTruncated or ErrCorrupted for any
// other.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.await(); err != nil {
		return 0, err
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// Await implements Awaiter.
func (r *bodyReader) Await() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.await()
}

func (r *bodyReader) await() error {
	for len(r.unread) == 0 && r.err == nil {
		r.err = r.next()
	}
	if len(r.unread) == 0 {
		return r.err
	}
	return nil
}

func (r *bodyReader) next() error {
	if err := r.receive(&r.frame); err != nil {
		return errors.CombineErrors(ErrTruncated, err)
	}
	switch r.frame.kind {
	case frameChunk:
		r.length += uint64(len(r.frame.data))
		_, _ = r.digest.Write(r.frame.data)
		r.unread = r.frame.data
		return nil
	case frameEnd:
		return r.checkEnd()
	case frameHead, frameRefusal, frameAnswer, frameProgress:
	}
	return errors.Newf("frame of kind %d within a body", r.frame.kind)
}

func (r *bodyReader) checkEnd() error {
	var end endMessage
	if err := messenger.Unmarshal(r.frame.data, &end); err != nil {
		return err
	}
	if end.Length != r.length || end.Sum != r.digest.Sum64() {
		return ErrCorrupted
	}
	r.trailer = end.Trailer
	return io.EOF
}

// Trailer implements TrailerBody.
func (r *bodyReader) Trailer() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trailer
}

// drain reads and discards the rest of the body. It returns early if the sender closes the stream.
func (r *bodyReader) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.err == nil {
		r.err = r.next()
	}
}

// complete reports whether the body was read up to its end frame.
func (r *bodyReader) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Is(r.err, io.EOF)
}
