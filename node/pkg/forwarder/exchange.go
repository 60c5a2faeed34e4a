package forwarder

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/abandoner"
	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
	"samphiremount.example/core/validator"
)

// errAnswerMismatch is returned for an answer that carries the ID of another request.
var errAnswerMismatch = errors.New("answer belongs to another request")

// exchange is one request and its answer on a stream. It sends the body and receives the answer concurrently, because
// a target may answer before it has read the whole body.
type exchange struct {
	stream      drpc.Stream
	cancel      context.CancelFunc
	destination Destination
	head        Head
	gossip      *gossiper.Gossiper
	log         *slog.Logger
	startedAt   time.Time
	group       errgroup.Group
	answer      *bodyReader
	idle        *idleTimer
	questions   questions
	bodySent    atomic.Bool
	withheld    *withheldBody
	bodyFailed  chan error
	source      sourceBody
	grants      atomic.Bool
	heard       atomic.Bool
	running     atomic.Bool

	mu       sync.Mutex
	silence  abandoner.Silence
	silent   bool
	frames   int
	ended    abandoner.Decision
	refused  bool
	gateTime tombstoner.GateTime
}

func newExchange(
	stream drpc.Stream, cancel context.CancelFunc, destination Destination, head Head, gossip *gossiper.Gossiper, log *slog.Logger,
	questions questions,
) *exchange {
	e := &exchange{
		stream: stream, cancel: cancel, destination: destination, head: head, gossip: gossip, log: log, startedAt: time.Now(),
		questions: questions, bodyFailed: make(chan error, 1),
	}
	e.idle = newIdleTimer(cmp.Or(destination.ResponseTimeout, idleTimeout), e.handleTimeout)
	return e
}

// receive reads the next frame that is not a progress frame. A live gate sends progress frames, so an idle timeout without
// any frame is a reason to ask the gate about the attempt.
func (e *exchange) receive(into *frame) error {
	defer e.idle.stop()
	for {
		if e.heard.Load() {
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
		if progress.Running {
			e.running.Store(true)
		}
		e.sendGranted(progress)
	}
}

// noteResponse records a frame of the gate, in particular the first one.
func (e *exchange) noteResponse() {
	e.endSilence()
	if e.heard.Swap(true) {
		return
	}
	if e.destination.OnFirstResponse != nil {
		e.destination.OnFirstResponse(time.Since(e.startedAt))
	}
}

func (e *exchange) run(body io.Reader) (Answer, error) {
	head := e.head
	if head.Withheld {
		// Set before the head is sent: a gate may have it although sending it fails.
		e.withheld = &withheldBody{source: body}
	}
	message := head.wire(time.Now())
	message.Verdicts = digestMessage(e.gossip)
	if err := send(e.stream, frameHead, message); err != nil {
		return Answer{}, err
	}
	e.bodySent.Store(head.Length == 0 || head.Withheld)
	if head.Length != 0 && !head.Withheld {
		e.startBody(body)
	}
	var first frame
	if err := e.receive(&first); err != nil {
		select {
		case sendErr := <-e.bodyFailed:
			if errors.Is(sendErr, errBodySource) {
				return Answer{}, &refuser.Refusal{Kind: cutKind(sendErr), Outcome: e.cutOutcome(), Detail: sendErr.Error()}
			}
		default:
		}
		return Answer{}, err
	}
	return e.openAnswer(first, head.AttemptID)
}

// startBody sends body in the background.
func (e *exchange) startBody(body io.Reader) {
	e.source.Reader = body
	e.group.Go(func() error {
		err := sendBody(e.stream, &e.source)
		e.bodySent.Store(err == nil)
		if err != nil {
			e.bodyFailed <- err
			e.cancel()
		}
		return err
	})
}

func (e *exchange) openAnswer(first frame, id string) (Answer, error) {
	switch first.kind {
	case frameRefusal:
		var refusal refusalMessage
		if err := messenger.Unmarshal(first.data, &refusal); err != nil {
			return Answer{}, err
		}
		recordVerdicts(e.gossip, refusal.Verdicts)
		e.gateTime, e.refused = tombstoner.GateTime(refusal.GateTime), true
		received := &refuser.Refusal{
			Kind: refuser.Kind(refusal.Kind), Outcome: refuser.ParseOutcome(refusal.Outcome), Detail: refusal.Detail,
			Load: refusal.Load,
		}
		if refusal.RetryAfter > 0 {
			received.RetryAt = time.Now().Add(time.Duration(refusal.RetryAfter) * time.Millisecond)
		}
		return Answer{}, received
	case frameAnswer:
		var answer answerMessage
		if err := messenger.Unmarshal(first.data, &answer); err != nil {
			return Answer{}, err
		}
		if answer.ID != id {
			return Answer{}, errors.Wrapf(errAnswerMismatch, "received the answer of request %s", answer.ID)
		}
		if !validator.FinalStatus(answer.Status) {
			return Answer{}, errors.Newf("received an answer with status %d", answer.Status)
		}
		recordVerdicts(e.gossip, answer.Verdicts)
		e.gateTime = tombstoner.GateTime(answer.GateTime)
		e.answer = newBodyReader(e.receive)
		return Answer{Status: answer.Status, Header: answer.Header, Body: e}, nil
	case frameHead, frameChunk, frameEnd, frameProgress:
	}
	return Answer{}, errors.Newf("frame of kind %d instead of an answer", first.kind)
}

// toRefusal converts an error of the exchange to a refusal.
func (e *exchange) toRefusal(ctx context.Context, err error) error {
	var refusal *refuser.Refusal
	refused := errors.As(err, &refusal)
	switch {
	case e.withheld != nil && !e.withheld.sent.Load():
		return e.refuseUnsent(ctx, refusal, err)
	case refused:
		return refusal
	}
	switch e.decision().(type) {
	case abandoner.Withdraw:
		return refuser.Refuse(refuser.NodeUnreachable, "the gate was silent and promised not to start it")
	case abandoner.GiveUp:
		return refuser.Fail(refuser.OutcomeUnknown, errForgotten.Error())
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &refuser.Refusal{Kind: refuser.DeadlinePassed, Outcome: e.cutOutcome(), Detail: "no answer before the deadline"}
	}
	outcome := e.cutOutcome()
	if outcome == (refuser.NotRun{}) {
		return refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	return refuser.Fail(refuser.OutcomeUnknown, err.Error())
}

// Read implements io.Reader over the answer's body.
func (e *exchange) Read(p []byte) (int, error) {
	return e.answer.Read(p)
}

// Await implements Awaiter.
func (e *exchange) Await() error { return e.answer.Await() }

// Trailer implements TrailerBody.
func (e *exchange) Trailer() http.Header {
	return e.answer.Trailer()
}

// Close ends the exchange, whether or not the answer was read to its end. The connection is reused only if both
// bodies were transferred completely, because unread bytes would block the next request on it.
func (e *exchange) Close() error {
	e.idle.stop()
	complete := e.refused || e.answer != nil && e.answer.complete()
	if !complete || !e.bodySent.Load() {
		e.cancel()
		return nil
	}
	err := e.stream.Close()
	e.cancel()
	return errors.Wrap(err, "close stream")
}
