package acceptor

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/granter"
	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

var errBodyTooLarge = errors.New("the request body is longer than allowed")

// readAheadBytes is what one read ahead of a body takes from its caller at most. It is chosen: each withheld body has
// such a buffer for as long as it waits.
const readAheadBytes = 8 << 10

// body lets several attempts read a caller's request body, one after another, as long as no more of it was read than it may
// keep: granter.MaxReplayBytes, one further read, and what it gets from the entry's pool.
type body struct {
	current atomic.Pointer[bodyReader]
	trailer http.Header
	key     string
	// requestEnded is closed when the caller's connection has failed.
	requestEnded <-chan struct{}
	// consumed is set once a part of the body was read that is not kept.
	consumed atomic.Bool
	// aheadOnce starts the read ahead of the attempts.
	aheadOnce sync.Once
	group     errgroup.Group
	pool      *granter.Pool
	// limitKind is set if a limit has ended the body.
	limitKind atomic.Pointer[refuser.Kind]
	// maxBytes is the length from which on the body is too large, or 0 for no bound.
	maxBytes int64

	// turn is held by whoever reads from source, which may take any time.
	turn   sync.Mutex
	source io.Reader

	mu           sync.Mutex
	replayBuffer []byte
	bytesRead    int
	readErr      error
	// steps is how often the body got memory from the pool, and released is set once it has returned that.
	steps    int
	released bool
}

// newBody returns the body of call, whose context is ctx. Its trailers are available once it was read to the end. Those
// that contain key are dropped.
func newBody(ctx context.Context, call Call, maxBytes int64, pool *granter.Pool, key string) *body {
	return &body{source: call.Body, trailer: call.Trailer, key: key, requestEnded: ctx.Done(), maxBytes: maxBytes, pool: pool}
}

// readAhead reads the body in the background as far as it can be kept. net/http notices that a caller has left only once the
// body was read to its end, so that a request whose body is withheld would go on without its caller.
func (b *body) readAhead() {
	b.aheadOnce.Do(func() {
		b.group.Go(func() error {
			buffer := make([]byte, readAheadBytes)
			for b.readMore(buffer) {
			}
			return nil
		})
	})
}

// readMore reads once ahead of all attempts, and reports whether it may go on.
func (b *body) readMore(p []byte) bool {
	b.turn.Lock()
	defer b.turn.Unlock()
	b.mu.Lock()
	kept := b.readErr == nil && b.keepsNext()
	b.mu.Unlock()
	return kept && b.read(p, true) == nil
}

// keepsNext reports whether the bytes of the next read are kept. The caller holds mu.
func (b *body) keepsNext() bool {
	if b.bytesRead != len(b.replayBuffer) || b.released {
		return false
	}
	limit := granter.MaxReplayBytes + b.steps*granter.PoolStep
	if b.bytesRead <= limit {
		return true
	}
	if b.pool == nil || !b.pool.Acquire(limit) {
		return false
	}
	b.steps++
	return true
}

// read reads the next bytes from the caller into p, and keeps them if kept is set. That is decided before the wait for them, so
// that replayable is right meanwhile. The caller of read has the turn.
func (b *body) read(p []byte, kept bool) error {
	if !kept {
		b.consumed.Store(true)
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if kept {
		b.replayBuffer = append(b.replayBuffer, p[:n]...)
	} else {
		b.replayBuffer = nil
	}
	b.bytesRead += n
	if b.maxBytes > 0 && int64(b.bytesRead) > b.maxBytes {
		err = errBodyTooLarge
	}
	b.recordFailure(err)
	b.readErr = err
	return err
}

// release returns the memory that the body has from the pool. Nothing more of the body is kept after that.
func (b *body) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool != nil && !b.released {
		b.pool.Release(b.steps)
	}
	b.released = true
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
	return !b.consumed.Load()
}

// truncated reports whether the body ended early. It waits for a read that is in progress only if the caller's connection
// has failed, since the caller may take any time to send the rest.
func (b *body) truncated() bool {
	select {
	case <-b.requestEnded:
		b.turn.Lock()
	default:
		if !b.turn.TryLock() {
			return false
		}
	}
	defer b.turn.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr != nil && !errors.Is(b.readErr, io.EOF)
}

// failure returns the kind of refusal that the end of the body calls for, or false if it did not end by a limit.
func (b *body) failure() (refuser.Kind, bool) {
	kind := b.limitKind.Load()
	if kind == nil {
		return "", false
	}
	return *kind, true
}

// recordFailure records err as the end of the body, if a limit caused it.
func (b *body) recordFailure(err error) {
	var kind refuser.Kind
	switch {
	case errors.Is(err, errBodyStalled):
		kind = refuser.BodyStalled
	case errors.Is(err, errBodyTooLarge):
		kind = refuser.BodyTooLarge
	default:
		return
	}
	b.limitKind.Store(&kind)
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
	if n, err, ok := r.readKept(p); ok {
		return n, err
	}
	b.turn.Lock()
	defer b.turn.Unlock()
	// Another reader may have had the turn in between.
	if n, err, ok := r.readKept(p); ok {
		return n, err
	}
	b.mu.Lock()
	kept, before := b.keepsNext(), b.bytesRead
	b.mu.Unlock()
	err := b.read(p, kept)
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.bytesRead - before
	r.offset += n
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// readKept reads what is kept of the body, or returns why nothing more can be read. ok is false if the next bytes have to come
// from the caller.
func (r *bodyReader) readKept(p []byte) (n int, err error, ok bool) { //nolint:revive // the error belongs to n
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.current.Load() != r:
		return 0, forwarder.ErrBodyConsumed, true
	case r.offset < len(b.replayBuffer):
		n = copy(p, b.replayBuffer[r.offset:])
		r.offset += n
		return n, nil, true
	case r.offset < b.bytesRead:
		return 0, forwarder.ErrBodyConsumed, true
	case b.readErr != nil:
		return 0, b.readErr, true
	default:
		return 0, nil, false
	}
}
