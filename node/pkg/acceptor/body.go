package acceptor

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/granter"
	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

var errBodyTooLarge = errors.New("the request body is longer than allowed")

// body lets several attempts read a caller's request body, one after another, as long as no more than granter.MaxReplayBytes
// and one further read of it were read.
type body struct {
	current atomic.Pointer[bodyReader]
	trailer http.Header
	key     string
	// requestEnded is closed when the caller's connection has failed.
	requestEnded <-chan struct{}
	// spent is set once a part of the body was read that is not kept.
	spent atomic.Bool
	// maxBytes is the length from which on the body is too large, or 0 for no bound.
	maxBytes int64

	mu           sync.Mutex
	source       io.Reader
	replayBuffer []byte
	bytesRead    int
	readErr      error
}

// newBody returns the body of call, whose context is ctx. Its trailers are available once it was read to the end. Those
// that contain key are dropped.
func newBody(ctx context.Context, call Call, maxBytes int64, key string) *body {
	return &body{source: call.Body, trailer: call.Trailer, key: key, requestEnded: ctx.Done(), maxBytes: maxBytes}
}

// reader returns a reader from the start of the body for one more attempt. Readers of earlier attempts return an error
// from then on.
func (b *body) reader() io.Reader {
	reader := &bodyReader{body: b}
	b.current.Store(reader)
	return reader
}

// replayable reports whether another attempt can read the whole body.
func (b *body) replayable() bool {
	// An attempt may still wait for data from the caller. That is buffered when it arrives, if another attempt takes over.
	return !b.spent.Load()
}

// truncated reports whether the body ended early. It waits for a read that is in progress only if the caller's connection
// has failed, since the caller may take any time to send the rest.
func (b *body) truncated() bool {
	select {
	case <-b.requestEnded:
		b.mu.Lock()
	default:
		if !b.mu.TryLock() {
			return false
		}
	}
	defer b.mu.Unlock()
	return b.readErr != nil && !errors.Is(b.readErr, io.EOF)
}

// failure returns the kind of refusal that the end of the body calls for, or false if it did not end by a limit.
func (b *body) failure() (refuser.Kind, bool) {
	if !b.mu.TryLock() {
		return "", false
	}
	defer b.mu.Unlock()
	switch {
	case errors.Is(b.readErr, errBodyStalled):
		return refuser.BodyStalled, true
	case errors.Is(b.readErr, errBodyTooLarge):
		return refuser.BodyTooLarge, true
	default:
		return "", false
	}
}

// bodyReader reads a body for one attempt.
type bodyReader struct {
	body   *body
	offset int
}

// Trailer implements forwarder.TrailerBody.
func (r *bodyReader) Trailer() http.Header {
	trailer := r.body.trailer.Clone()
	for name, values := range trailer {
		if containsKey(values, r.body.key) {
			trailer.Del(name)
		}
	}
	return trailer
}

// Read implements io.Reader. If another attempt takes over during a read, the bytes of that read are buffered for the
// new attempt.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Load() != r {
		return 0, forwarder.ErrBodySpent
	}
	if r.offset < len(b.replayBuffer) {
		n := copy(p, b.replayBuffer[r.offset:])
		r.offset += n
		return n, nil
	}
	if r.offset < b.bytesRead {
		return 0, forwarder.ErrBodySpent
	}
	if b.readErr != nil {
		return 0, b.readErr
	}
	// Whether the bytes are kept is decided before the wait for them, so that replayable is right meanwhile.
	kept := b.bytesRead == len(b.replayBuffer) && b.bytesRead <= granter.MaxReplayBytes
	if !kept {
		b.replayBuffer = nil
		b.spent.Store(true)
	}
	n, err := b.source.Read(p)
	if kept {
		b.replayBuffer = append(b.replayBuffer, p[:n]...)
	}
	b.bytesRead += n
	r.offset += n
	if b.maxBytes > 0 && int64(b.bytesRead) > b.maxBytes {
		err = errBodyTooLarge
	}
	b.readErr = err
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}
