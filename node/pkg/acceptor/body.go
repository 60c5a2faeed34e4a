package acceptor

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// keptBytes bounds how much of a request body is kept for another attempt.
const keptBytes = 64 << 10

var errNotKept = errors.New("the body is past what is kept for another attempt")

// body lets several attempts read a caller's request body one after another, as long as no more than keptBytes of it
// were read.
type body struct {
	owner   atomic.Pointer[bodyReader]
	trailer http.Header
	key     string

	mu     sync.Mutex
	source io.Reader
	kept   []byte
	read   int
	end    error
}

// newBody returns the body of call. Its trailers are filled in once it was read. Those that contain key are dropped.
func newBody(call Call, key string) *body {
	return &body{source: call.Body, trailer: call.Trailer, key: key}
}

// reader returns the body from its start for one more attempt. Readers of earlier attempts get nothing more.
func (b *body) reader() io.Reader {
	reader := &bodyReader{body: b}
	b.owner.Store(reader)
	return reader
}

// replayable reports whether another attempt can have the whole body.
func (b *body) replayable() bool {
	if !b.mu.TryLock() {
		// The last attempt still waits for the caller. What it gets is kept.
		return true
	}
	defer b.mu.Unlock()
	return b.read == len(b.kept)
}

// cut reports whether the body ended before its end, once the read that is under way has returned.
func (b *body) cut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end != nil && !errors.Is(b.end, io.EOF)
}

// bodyReader is one attempt's view of a body.
type bodyReader struct {
	body   *body
	offset int
}

// Trailer implements carrier.Trailed.
func (r *bodyReader) Trailer() http.Header {
	trailer := r.body.trailer.Clone()
	for name, values := range trailer {
		if containsKey(values, r.body.key) {
			trailer.Del(name)
		}
	}
	return trailer
}

// Read implements io.Reader. A read that is under way when another attempt takes over ends there, and its bytes are
// kept for that attempt.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner.Load() != r {
		return 0, errNotKept
	}
	if r.offset < len(b.kept) {
		n := copy(p, b.kept[r.offset:])
		r.offset += n
		return n, nil
	}
	if r.offset < b.read {
		return 0, errNotKept
	}
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.source.Read(p)
	if b.read == len(b.kept) && b.read+n <= keptBytes {
		b.kept = append(b.kept, p[:n]...)
	} else {
		b.kept = nil
	}
	b.read += n
	r.offset += n
	b.end = err
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}
