package carrier

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

// errCrossed is returned in place of an answer that belongs to another request.
var errCrossed = errors.New("crossed answer")

// exchange is one request and its answer on a stream. It sends the body and receives the answer side by side, since a
// target may answer before it has read the whole body.
type exchange struct {
	stream  drpc.Stream
	cancel  context.CancelFunc
	way     Way
	began   time.Time
	group   errgroup.Group
	answer  *bodyReader
	silence *silence
	// bury asks the gate, in another way, not to start the request, and reports whether it promised that. It is nil for a
	// request that may be repeated: such a one goes elsewhere at once.
	bury    func() bool
	asked   atomic.Bool
	buried  atomic.Bool
	silent  atomic.Bool
	sent    atomic.Bool
	refused bool
	running bool
	reached bool
	reading tombstoner.GateTime
}

func newExchange(stream drpc.Stream, cancel context.CancelFunc, way Way, bury func() bool) *exchange {
	e := &exchange{stream: stream, cancel: cancel, way: way, began: time.Now(), bury: bury}
	e.silence = newSilence(cmp.Or(way.Patience, silenceLimit), e.expire)
	return e
}

// expire ends the exchange when the gate was silent for long. To give up a request that may not be repeated would end its
// run, so the gate is asked about it first. Only a promise not to start it, or a second silence, ends such a one.
func (e *exchange) expire() {
	if e.bury == nil || e.asked.Swap(true) {
		e.giveUp()
		return
	}
	e.silence.allow(silenceLimit)
	e.group.Go(func() error {
		if e.bury() {
			e.buried.Store(true)
			e.giveUp()
		}
		return nil
	})
}

func (e *exchange) giveUp() {
	e.silent.Store(true)
	e.cancel()
}

// receive takes the next frame that is not about progress. It gives up once the gate was silent for silenceLimit: a
// gate that is alive tells of its progress more often, so the connection is at fault.
func (e *exchange) receive(into *frame) error {
	defer e.silence.stop()
	for {
		if e.reached {
			e.asked.Store(false)
			e.silence.allow(silenceLimit)
		}
		e.silence.start()
		if err := e.stream.MsgRecv(into, frameEncoding{}); err != nil {
			return errors.Wrap(err, "receive answer")
		}
		e.reach()
		if into.kind != frameProgress {
			return nil
		}
		var progress progressBody
		if err := messenger.Unmarshal(into.data, &progress); err != nil {
			return err
		}
		e.running = e.running || progress.Running
	}
}

// reach notes the gate's first sign of life.
func (e *exchange) reach() {
	if e.reached {
		return
	}
	e.reached = true
	if e.way.Reached != nil {
		e.way.Reached(time.Since(e.began))
	}
}

func (e *exchange) run(head Head, body io.Reader) (Answer, error) {
	if err := send(e.stream, frameHead, head.wire(time.Now())); err != nil {
		return Answer{}, err
	}
	bodyFailed := make(chan error, 1)
	e.sent.Store(head.Length == 0)
	if head.Length != 0 {
		e.group.Go(func() error {
			err := sendBody(e.stream, body)
			e.sent.Store(err == nil)
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
			if errors.Is(sendErr, errSource) {
				return Answer{}, refuser.Fail(refuser.BodyCut, sendErr.Error())
			}
		default:
		}
		return Answer{}, err
	}
	return e.open(first, head.ID)
}

func (e *exchange) open(first frame, id string) (Answer, error) {
	switch first.kind {
	case frameRefused:
		var refused refusedBody
		if err := messenger.Unmarshal(first.data, &refused); err != nil {
			return Answer{}, err
		}
		e.reading, e.refused = tombstoner.GateTime(refused.Reading), true
		return Answer{}, &refuser.Refusal{
			Kind: refuser.Kind(refused.Kind), Outcome: refuser.ParseOutcome(refused.Outcome), Detail: refused.Detail,
			Load: refused.Load,
		}
	case frameAnswer:
		var answer answerBody
		if err := messenger.Unmarshal(first.data, &answer); err != nil {
			return Answer{}, err
		}
		if answer.ID != id {
			return Answer{}, errors.Wrapf(errCrossed, "answer of request %s", answer.ID)
		}
		e.reading = tombstoner.GateTime(answer.Reading)
		e.answer = newBodyReader(e.receive)
		return Answer{Status: answer.Status, Header: answer.Header, Body: e}, nil
	case frameHead, framePart, frameEnd, frameProgress:
	}
	return Answer{}, errors.Newf("frame %d in place of an answer", first.kind)
}

// explain turns a failure of the exchange into a refusal.
func (e *exchange) explain(ctx context.Context, err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if e.buried.Load() {
		return refuser.Refuse(refuser.NodeUnreachable, "the gate was silent and promised not to start it")
	}
	if e.silent.Load() && !e.reached {
		return refuser.Fail(refuser.NodeUnreachable, "the gate gave no sign of life")
	}
	if e.silent.Load() {
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
	e.silence.stop()
	whole := e.refused || e.answer != nil && e.answer.whole()
	if !whole || !e.sent.Load() {
		e.cancel()
		return nil
	}
	err := e.stream.Close()
	e.cancel()
	return errors.Wrap(err, "close stream")
}
