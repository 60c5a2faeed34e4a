package forwarder

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

// errAnswerMismatch is returned in place of an answer that belongs to another request.
var errAnswerMismatch = errors.New("crossed answer")

// exchange is one request and its answer on a stream. It sends the body and receives the answer side by side, since a
// target may answer before it has read the whole body.
type exchange struct {
	stream      drpc.Stream
	cancel      context.CancelFunc
	destination Destination
	startedAt   time.Time
	group       errgroup.Group
	answer      *bodyReader
	idle        *idleTimer
	// placeTombstone asks the gate, in another way, not to start the request, and reports whether it promised that. It is nil for a
	// request that may be repeated: such a one goes elsewhere at once.
	placeTombstone     func() bool
	tombstoneRequested atomic.Bool
	tombstoned         atomic.Bool
	timedOut           atomic.Bool
	bodySent           atomic.Bool
	refused            bool
	running            bool
	responded          bool
	gateTime           tombstoner.GateTime
}

func newExchange(stream drpc.Stream, cancel context.CancelFunc, way Destination, bury func() bool) *exchange {
	e := &exchange{stream: stream, cancel: cancel, destination: way, startedAt: time.Now(), placeTombstone: bury}
	e.idle = newIdleTimer(cmp.Or(way.ResponseTimeout, idleTimeout), e.handleTimeout)
	return e
}

// handleTimeout ends the exchange when the gate was silent for long. To give up a request that may not be repeated would end its
// run, so the gate is asked about it first. Only a promise not to start it, or a second silence, ends such a one.
func (e *exchange) handleTimeout() {
	if e.placeTombstone == nil || e.tombstoneRequested.Swap(true) {
		e.abort()
		return
	}
	e.idle.setTimeout(idleTimeout)
	e.group.Go(func() error {
		if e.placeTombstone() {
			e.tombstoned.Store(true)
			e.abort()
		}
		return nil
	})
}

func (e *exchange) abort() {
	e.timedOut.Store(true)
	e.cancel()
}

// receive takes the next frame that is not about progress. It gives up once the gate was silent for silenceLimit: a
// gate that is alive tells of its progress more often, so the connection is at fault.
func (e *exchange) receive(into *frame) error {
	defer e.idle.stop()
	for {
		if e.responded {
			e.tombstoneRequested.Store(false)
			e.idle.setTimeout(idleTimeout)
		}
		e.idle.start()
		if err := e.stream.MsgRecv(into, frameEncoding{}); err != nil {
			return errors.Wrap(err, "receive answer")
		}
		e.noteResponse()
		if into.kind != frameProgress {
			return nil
		}
		var progress progressMessage
		if err := messenger.Unmarshal(into.data, &progress); err != nil {
			return err
		}
		e.running = e.running || progress.Running
	}
}

// noteResponse notes the gate's first sign of life.
func (e *exchange) noteResponse() {
	if e.responded {
		return
	}
	e.responded = true
	if e.destination.OnFirstResponse != nil {
		e.destination.OnFirstResponse(time.Since(e.startedAt))
	}
}

func (e *exchange) run(head Head, body io.Reader) (Answer, error) {
	if err := send(e.stream, frameHead, head.wire(time.Now())); err != nil {
		return Answer{}, err
	}
	bodyFailed := make(chan error, 1)
	e.bodySent.Store(head.Length == 0)
	if head.Length != 0 {
		e.group.Go(func() error {
			err := sendBody(e.stream, body)
			e.bodySent.Store(err == nil)
			if err != nil {
				bodyFailed <- err
				e.cancel()
			}
			return err
		})
	}
	var first frame
	if err := e.receive(&first); err != nil {
		select {
		case sendErr := <-bodyFailed:
			if errors.Is(sendErr, errBodySource) {
				return Answer{}, refuser.Fail(refuser.BodyCut, sendErr.Error())
			}
		default:
		}
		return Answer{}, err
	}
	return e.openAnswer(first, head.ID)
}

func (e *exchange) openAnswer(first frame, id string) (Answer, error) {
	switch first.kind {
	case frameRefusal:
		var refused refusalMessage
		if err := messenger.Unmarshal(first.data, &refused); err != nil {
			return Answer{}, err
		}
		e.gateTime, e.refused = tombstoner.GateTime(refused.GateTime), true
		return Answer{}, &refuser.Refusal{
			Kind: refuser.Kind(refused.Kind), Outcome: refuser.ParseOutcome(refused.Outcome), Detail: refused.Detail,
			Load: refused.Load,
		}
	case frameAnswer:
		var answer answerMessage
		if err := messenger.Unmarshal(first.data, &answer); err != nil {
			return Answer{}, err
		}
		if answer.ID != id {
			return Answer{}, errors.Wrapf(errAnswerMismatch, "answer of request %s", answer.ID)
		}
		e.gateTime = tombstoner.GateTime(answer.GateTime)
		e.answer = newBodyReader(e.receive)
		return Answer{Status: answer.Status, Header: answer.Header, Body: e}, nil
	case frameHead, frameChunk, frameEnd, frameProgress:
	}
	return Answer{}, errors.Newf("frame %d in place of an answer", first.kind)
}

// toRefusal turns a failure of the exchange into a refusal.
func (e *exchange) toRefusal(ctx context.Context, err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if e.tombstoned.Load() {
		return refuser.Refuse(refuser.NodeUnreachable, "the gate was silent and promised not to start it")
	}
	if e.timedOut.Load() && !e.responded {
		return refuser.Fail(refuser.NodeUnreachable, "the gate gave no sign of life")
	}
	if e.timedOut.Load() {
		return refuser.Fail(refuser.OutcomeUnknown, "the connection to the gate went silent")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.Fail(refuser.DeadlinePassed, "no answer before the deadline")
	}
	return refuser.Fail(refuser.OutcomeUnknown, err.Error())
}

// Read implements io.Reader over the answer's body.
func (e *exchange) Read(p []byte) (int, error) {
	return e.answer.Read(p)
}

// Trailer implements Trailed.
func (e *exchange) Trailer() http.Header {
	return e.answer.Trailer()
}

// Close ends the exchange, whether or not the answer was read to its end. The connection is used again only if both
// directions are whole: what one side left unread would hold up the next request on it.
func (e *exchange) Close() error {
	e.idle.stop()
	whole := e.refused || e.answer != nil && e.answer.complete()
	if !whole || !e.bodySent.Load() {
		e.cancel()
		return nil
	}
	err := e.stream.Close()
	e.cancel()
	return errors.Wrap(err, "close stream")
}
