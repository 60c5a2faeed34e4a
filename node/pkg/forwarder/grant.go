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

// withheldBody is a body that waits at the entry for its grant.
type withheldBody struct {
	source  io.Reader
	decided atomic.Bool
	sent    atomic.Bool
}

// send claims the body for its gate, and reports whether it may leave. withdraw claims it for another attempt. Only the first
// claim succeeds.
func (b *withheldBody) send() bool {
	if !b.decided.CompareAndSwap(false, true) {
		return false
	}
	b.sent.Store(true)
	return true
}

func (b *withheldBody) withdraw() bool { return b.decided.CompareAndSwap(false, true) }

// sendGranted sends a withheld body if the message of the gate asks for it. From then on the attempt cannot be withdrawn; if
// it has been withdrawn before, it ends without the body.
func (e *exchange) sendGranted(progress progressMessage) {
	if progress.Grants {
		e.grants.Store(true)
	}
	if e.withheld == nil || e.withheld.decided.Load() {
		return
	}
	switch granter.Decide(granter.Message{Grants: progress.Grants, Granted: progress.Granted}).(type) {
	case granter.Wait:
	case granter.Send:
		if !e.destination.Launch.commit() {
			e.cancel()
			return
		}
		if !e.withheld.send() {
			return
		}
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

// cutOutcome returns the outcome of a request that failed while its body was sent. A gate starts a request with a short body only
// once it has all of it, and one with a withheld body once it has the first byte. Where that has not left yet, it never will.
func (e *exchange) cutOutcome() refuser.Outcome {
	length := e.head.Length
	switch {
	case length > 0 && length <= granter.MaxReplayBytes && e.source.cut(bodyWaiting, bodyStreaming):
		return refuser.NotRun{}
	case e.withheld != nil && e.grants.Load() && e.source.cut(bodyWaiting):
		return refuser.NotRun{}
	default:
		return refuser.Unknown{}
	}
}

// cutKind returns the kind of the refusal of a request whose body could not be read. A body that an earlier attempt has used is
// no fault of its caller, who may send the request again.
func cutKind(err error) refuser.Kind {
	if errors.Is(err, ErrBodyConsumed) {
		return refuser.NodeUnreachable
	}
	return refuser.BodyCut
}

// The states of a body at its entry: no byte was read, some were, all were, or no more will be.
const (
	bodyWaiting int32 = iota
	bodyStreaming
	bodyEnded
	bodyCut
)

var errBodyCut = errors.New("the request was given up before this part of its body")

// sourceBody is a body at its entry whose next part can be kept from leaving.
type sourceBody struct {
	io.Reader

	state atomic.Int32
}

// cut keeps the rest of the body from leaving if it is in one of states.
func (b *sourceBody) cut(states ...int32) bool {
	for _, state := range states {
		if b.state.CompareAndSwap(state, bodyCut) {
			return true
		}
	}
	return false
}

// Read implements io.Reader. It returns an error in place of what must not leave.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if !b.state.CompareAndSwap(bodyStreaming, bodyEnded) && !b.state.CompareAndSwap(bodyWaiting, bodyEnded) {
			return 0, errBodyCut
		}
	case n > 0 && !b.state.CompareAndSwap(bodyWaiting, bodyStreaming) && b.state.Load() != bodyStreaming:
		return 0, errBodyCut
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Trailer implements TrailerBody.
func (b *sourceBody) Trailer() http.Header {
	if body, ok := b.Reader.(TrailerBody); ok {
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
