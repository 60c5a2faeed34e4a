package connector

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/validator"
)

const (
	// maxReuseIdle bounds the idle time of a connection that is reused for a request that is not repeatable. A target
	// closes an idle connection at some time, and the outcome of a request that is sent at that moment is unknown.
	maxReuseIdle      = 2 * time.Second
	writeBufferBytes  = 8 << 10
	maxInterimAnswers = 5
)

var (
	errUpgrade = errors.New("target switched protocols")
	// errUnasked is returned for an answer that came before any byte of the request was written.
	errUnasked = errors.New("target answered before it was asked")
)

// exchange is one request and its answer on a connection.
type exchange struct {
	connector  *Connector
	conn       *conn
	group      errgroup.Group
	stopCancel func() bool
	response   *http.Response
	sent       atomic.Bool
	complete   bool
}

// Answer is the answer of a target. Reused is set if the connection has carried an earlier exchange, to which the answer
// may belong.
type Answer struct {
	*http.Response

	Reused bool
}

// Exchange sends request to the target at address once and returns the answer, whose Body must be closed. The error
// is a *Failure. If ctx ends, the exchange is aborted, even while the body of the answer is read.
func (c *Connector) Exchange(
	ctx context.Context, address string, request *http.Request, reuse Reuse,
) (Answer, error) {
	conn, err := c.connect(ctx, address, reuse)
	if err != nil {
		return Answer{}, &Failure{Sent: false, Cause: err}
	}
	conn.written.Store(false)
	e := &exchange{connector: c, conn: conn}
	e.stopCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := e.run(request); err != nil {
		e.stopCancel()
		// The connection is closed first, so that no more bytes can leave after written is read.
		_ = conn.Close()
		return Answer{}, &Failure{Sent: conn.written.Load(), Cause: err}
	}
	return Answer{Response: e.response, Reused: conn.reused}, nil
}

func (e *exchange) run(request *http.Request) error {
	if request.Body == nil || request.Body == http.NoBody {
		if err := e.send(request); err != nil {
			return err
		}
		e.sent.Store(true)
		return e.receive(request)
	}
	source := &sourceBody{ReadCloser: request.Body}
	request.Body = source
	sent := make(chan error, 1)
	e.group.Go(func() error {
		err := e.send(request)
		e.sent.Store(err == nil)
		// request.Write does not return the error of its source.
		sent <- errors.Join(err, source.err)
		if source.err != nil {
			// Closing the connection keeps the target from taking a truncated body for a complete one.
			_ = e.conn.Close()
		}
		return err
	})
	err := e.receive(request)
	if err == nil {
		return nil
	}
	select {
	case sendErr := <-sent:
		return errors.Join(err, sendErr)
	default:
		return err
	}
}

func (e *exchange) send(request *http.Request) error {
	writer := bufio.NewWriterSize(e.conn, writeBufferBytes)
	var out io.Writer = writer
	if request.ContentLength >= 0 && request.ContentLength <= writeBufferBytes {
		out = noFlushWriter{writer}
	}
	if err := request.Write(out); err != nil {
		return errors.Wrap(err, "send request to target")
	}
	return errors.Wrap(writer.Flush(), "send request to target")
}

// receive reads the head of the answer. It discards interim answers (1xx).
func (e *exchange) receive(request *http.Request) error {
	for range maxInterimAnswers {
		head, err := validator.ReadHead(e.conn.reader, request.Method)
		if err != nil {
			e.connector.countMalformed(err)
			return errors.Wrap(err, "receive answer of target")
		}
		switch {
		case !e.conn.written.Load():
			return errUnasked
		case head.Status == http.StatusSwitchingProtocols:
			return errUpgrade
		case !head.Interim():
			e.open(request, head)
			return nil
		}
	}
	return errors.New("target sent too many interim answers")
}

// open makes the response of the exchange from its head.
func (e *exchange) open(request *http.Request, head validator.Head) {
	e.response = &http.Response{
		StatusCode: head.Status, Status: http.StatusText(head.Status), ProtoMajor: 1, ProtoMinor: head.Minor, Header: head.Fields,
		ContentLength: head.Length, Close: head.Close, Request: request,
	}
	e.response.Body = &answerBody{Body: validator.NewBody(e.conn.reader, head), exchange: e}
}

// end returns the connection to the pool if request and answer were transferred completely and no bytes follow the
// answer. Otherwise it closes the connection.
func (e *exchange) end() {
	active := e.stopCancel()
	if !active || !e.complete || !e.sent.Load() || e.response.Close {
		_ = e.conn.Close()
		return
	}
	if e.conn.reader.Buffered() > 0 {
		e.connector.counts.Add("crossed_answers", 1)
		_ = e.conn.Close()
		return
	}
	e.connector.put(e.conn)
}

// noFlushWriter hides the type of the bufio.Writer from net/http, which would otherwise flush the head before it
// reads the body. A small request is thus sent in one packet, and not at all if its body is truncated.
type noFlushWriter struct {
	*bufio.Writer
}

// sourceBody records the error of reading a request's body.
type sourceBody struct {
	io.ReadCloser

	err error
}

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// answerBody is the body of an answer. Closing it ends the exchange.
type answerBody struct {
	*validator.Body

	exchange *exchange
}

// Read implements io.Reader. It returns io.EOF only after a complete answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.exchange.complete = true
		b.exchange.response.Trailer = b.Trailer()
	case err != nil:
		b.exchange.connector.countMalformed(err)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.end()
	return nil
}
