package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/granter"
	"samphiremount.example/core/refuser"
)

// withheldBody is a body that waits at the entry for its grant. sent is set before its first byte leaves.
type withheldBody struct {
	source io.Reader
	sent   atomic.Bool
}

// sendGranted sends a withheld body if the message of the gate asks for it. From then on the attempt cannot be withdrawn; if
// it has been withdrawn before, it ends without the body.
func (e *exchange) sendGranted(progress progressMessage) {
	if progress.Grants {
		e.grants.Store(true)
	}
	if e.withheld == nil || e.withheld.sent.Load() {
		return
	}
	switch granter.Decide(granter.Message{Grants: progress.Grants, Granted: progress.Granted}).(type) {
	case granter.Wait:
	case granter.Send:
		if !e.destination.Launch.commit() {
			e.cancel()
			return
		}
		e.withheld.sent.Store(true)
		e.bodySent.Store(false)
		e.log.Info("body granted", "request", e.head.AttemptID, "target", e.head.Target, "length", e.head.Length)
		e.startBody(e.withheld.source)
	}
}

// refuseUnsent returns the refusal of a request whose body was never sent, so that no gate can have started it. refusal is what
// the gate has answered, or nil if the exchange failed with err.
func (e *exchange) refuseUnsent(ctx context.Context, refusal *refuser.Refusal, err error) *refuser.Refusal {
	if refusal != nil && refusal.Outcome == (refuser.NotRun{}) {
		return refusal
	}
	kind := refuser.NodeUnreachable
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = refuser.DeadlinePassed
	}
	return refuser.From(refuser.Refuse(kind, "the body was not sent: "+err.Error()))
}

// cutOutcome returns the outcome of a request whose body has ended early, before its end frame was sent. A gate starts a request
// with a short body only once it has all of it, and one with a withheld body once it has the first byte.
func (e *exchange) cutOutcome() refuser.Outcome {
	length := e.head.Length
	short := length >= 0 && length <= granter.MaxReplayBytes
	if short || e.withheld != nil && e.grants.Load() && e.bytesRead.Load() == 0 {
		return refuser.NotRun{}
	}
	return refuser.Unknown{}
}

// countingReader adds the bytes that are read to count.
type countingReader struct {
	io.Reader

	count *atomic.Int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Trailer implements TrailerBody.
func (r *countingReader) Trailer() http.Header {
	if body, ok := r.Reader.(TrailerBody); ok {
		return body.Trailer()
	}
	return nil
}

// grantedBody is the body of a request at its gate. The first read of a withheld body grants it.
type grantedBody struct {
	*bodyReader

	stream   drpc.Stream
	withheld bool
	grant    sync.Once
	granted  atomic.Bool
}

var _ TrailerBody = (*grantedBody)(nil)

func newGrantedBody(body *bodyReader, stream drpc.Stream, withheld bool) *grantedBody {
	return &grantedBody{bodyReader: body, stream: stream, withheld: withheld}
}

// isGranted reports whether the entry may send the body.
func (b *grantedBody) isGranted() bool { return !b.withheld || b.granted.Load() }

// Read implements io.Reader.
func (b *grantedBody) Read(p []byte) (int, error) {
	if b.withheld {
		b.grant.Do(func() {
			b.granted.Store(true)
			// If this is lost, the next progress frame tells it again, or the entry notices that the connection has failed.
			_ = send(b.stream, frameProgress, progressMessage{Grants: true, Granted: true})
		})
	}
	return b.bodyReader.Read(p)
}

// Trailer implements TrailerBody.
func (b *grantedBody) Trailer() http.Header { return b.bodyReader.Trailer() }

// drain reads and discards the rest of a body that the entry sends.
func (b *grantedBody) drain() {
	if b.isGranted() {
		b.bodyReader.drain()
	}
}
