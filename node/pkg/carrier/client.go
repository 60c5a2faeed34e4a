package carrier

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
)

// Client sends requests to the gates of other nodes.
type Client struct {
	pool *messenger.Pool
}

// NewClient returns a client that uses the connections of pool.
func NewClient(pool *messenger.Pool) *Client {
	return &Client{pool: pool}
}

// Carry sends a request to the gate at address and returns the target's answer once its head is there. It reads body
// only as fast as the gate takes it. The error is a refusal: NotRun when no connection could be had or when the gate
// says so, else Unknown.
func (c *Client) Carry(ctx context.Context, address string, head Head, body io.Reader) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	stream, err := c.pool.Get(ctx, address).NewStream(ctx, callCarry, frameEncoding{})
	if err != nil {
		cancel()
		return Answer{}, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	exchange := &exchange{stream: stream, cancel: cancel}
	answer, err := exchange.run(head, body)
	if err != nil {
		err = exchange.explain(ctx, err)
		_ = exchange.Close()
		return Answer{}, err
	}
	return answer, nil
}

// exchange is one request and its answer on a stream. It sends the body and receives the answer side by side, since a
// target may answer before it has read the whole body.
type exchange struct {
	stream drpc.Stream
	cancel context.CancelFunc
	group  errgroup.Group
	answer *bodyReader
}

func (e *exchange) run(head Head, body io.Reader) (Answer, error) {
	if err := send(e.stream, frameHead, head.wire(time.Now())); err != nil {
		return Answer{}, err
	}
	bodyFailed := make(chan error, 1)
	e.group.Go(func() error {
		err := sendBody(e.stream, body)
		if err != nil {
			bodyFailed <- err
			e.cancel()
		}
		return err
	})
	var first frame
	if err := e.stream.MsgRecv(&first, frameEncoding{}); err != nil {
		select {
		case sendErr := <-bodyFailed:
			return Answer{}, refuser.Fail(refuser.BodyCut, sendErr.Error())
		default:
			return Answer{}, errors.Wrap(err, "receive answer")
		}
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
		return Answer{}, &refuser.Refusal{
			Kind: refuser.Kind(refused.Kind), Outcome: refuser.ParseOutcome(refused.Outcome), Detail: refused.Detail,
		}
	case frameAnswer:
		var answer answerBody
		if err := messenger.Unmarshal(first.data, &answer); err != nil {
			return Answer{}, err
		}
		if answer.ID != id {
			return Answer{}, errors.Newf("answer belongs to request %s", answer.ID)
		}
		e.answer = newBodyReader(e.stream)
		return Answer{Status: answer.Status, Header: answer.Header, Body: e}, nil
	case frameHead, framePart, frameEnd:
	}
	return Answer{}, errors.Newf("frame %d in place of an answer", first.kind)
}

// explain turns a failure of the exchange into a refusal.
func (e *exchange) explain(ctx context.Context, err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
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

// Close ends the exchange, whether or not the answer was read to its end.
func (e *exchange) Close() error {
	if e.answer != nil && errors.Is(e.answer.err, io.EOF) {
		err := e.stream.Close()
		e.cancel()
		_ = e.group.Wait()
		return errors.Wrap(err, "close stream")
	}
	e.cancel()
	_ = e.stream.Close()
	return nil
}
