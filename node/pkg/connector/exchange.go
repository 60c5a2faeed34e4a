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
)

const (
	// maxReuseIdle bounds how long a connection may have been idle when it takes a request that may not be repeated: an
	// idle target closes it sooner or later, and a request that crosses that close has an unknown outcome.
	maxReuseIdle      = 2 * time.Second
	writeBufferBytes  = 8 << 10
	maxInterimAnswers = 5
)

var errUpgrade = errors.New("the target switched protocols")

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

// Exchange sends request to the target at address once and returns the answer, whose Body must be closed. The error is
// a *Failure. The end of ctx ends the exchange at any point, its body included.
func (c *Connector) Exchange(
	ctx context.Context, address string, request *http.Request, repeatable bool,
) (*http.Response, error) {
	since := time.Now().Add(-maxReuseIdle)
	if repeatable {
		since = time.Now().Add(-idleTimeout)
	}
	conn, err := c.connect(ctx, address, since)
	if err != nil {
		return nil, &Failure{Sent: false, Cause: err}
	}
	conn.written.Store(false)
	e := &exchange{connector: c, conn: conn}
	e.stopCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := e.run(request); err != nil {
		e.stopCancel()
		// Closing comes before the look at touched: from here on no byte can leave.
		_ = conn.Close()
		return nil, &Failure{Sent: conn.written.Load(), Cause: err}
	}
	e.response.Body = &answerBody{ReadCloser: e.response.Body, exchange: e}
	return e.response, nil
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
		// The library hides the source's error.
		sent <- errors.Join(err, source.err)
		if source.err != nil {
			// The target must not take the part for the whole, so the connection ends here.
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

// receive reads the head of the answer. Interim answers (1xx) end at this hop.
func (e *exchange) receive(request *http.Request) error {
	for range maxInterimAnswers {
		e.conn.limitHead()
		response, err := http.ReadResponse(e.conn.reader, request) //nolint:bodyclose // answerBody closes it
		if err != nil {
			return errors.Wrap(err, "receive answer of target")
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return errUpgrade
		}
		if response.StatusCode >= http.StatusOK {
			e.conn.unlimit()
			e.response = response
			return nil
		}
	}
	return errors.New("the target sent too many interim answers")
}

// end gives the connection back if both directions are whole and nothing follows the answer, else it closes it.
func (e *exchange) end() {
	running := e.stopCancel()
	if !running || !e.complete || !e.sent.Load() || e.response.Close {
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

// noFlushWriter hides from net/http that it could flush the head before it reads the body. So nothing of a small request
// was sent if its body ends early, and it leaves in one packet.
type noFlushWriter struct {
	*bufio.Writer
}

// sourceBody remembers an error of the side that sends the body.
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

// answerBody ends the exchange when it is closed.
type answerBody struct {
	io.ReadCloser

	exchange *exchange
}

// Read implements io.Reader. Only io.EOF means that the answer is whole.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.end()
	return nil
}
