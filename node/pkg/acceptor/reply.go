package acceptor

import (
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

const (
	relayBufferBytes = 32 << 10
	// lastFrameWait is how long the end frame of an answer is awaited that was received in full. With it, the connection to
	// the gate can be used again.
	lastFrameWait = 200 * time.Millisecond
)

type refusalReply struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// refuse answers with the status and message of the refusal's kind. The detail is not sent; it appears only in the log.
func refuse(c echo.Context, id string, err error) {
	if c.Response().Committed {
		return
	}
	refusal := refuser.From(err)
	answer := refusal.Kind.Answer()
	header := c.Response().Header()
	header.Set(headerRequest, id)
	header.Set(headerOutcome, refusal.Outcome.String())
	if answer.Retryable {
		header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(time.Until(refusal.RetryAt).Seconds())))))
	}
	_ = c.JSON(answer.Status, refusalReply{string(refusal.Kind), answer.Message, refusal.Outcome.String(), id})
}

// Relay writes answer with its headers to the caller of request, called id. If the answer ends before any of its body
// arrived, Relay writes nothing and returns a refusal. If it ends early after that, Relay aborts the connection by
// panicking with http.ErrAbortHandler, so that the caller sees that the answer is truncated.
func (a *Acceptor) Relay(response http.ResponseWriter, request *http.Request, id string, answer forwarder.Answer) error {
	started, err := relay(response, answer)
	switch {
	case err == nil:
		a.RouteLog.Info("request answered", "request", id, "status", answer.Status, "outcome", refuser.Ran{})
		return nil
	case !started:
		refusal := &refuser.Refusal{Kind: refuser.AnswerCut, Outcome: refuser.Ran{}, Detail: err.Error()}
		refusal.RetryAt = a.chooser.retryAt(refusal, 0)
		a.RouteLog.Info("request refused", "request", id, "kind", refusal.Kind, "outcome", refusal.Outcome, "detail", refusal.Detail)
		return refusal
	default:
		a.RouteLog.Warn("answer cut", "request", id, "reason", err.Error())
		if !request.ProtoAtLeast(1, 1) {
			reset(response)
		}
		panic(http.ErrAbortHandler)
	}
}

// reset resets the connection of response. A caller of HTTP/1.0 would take an orderly close for the end of an answer
// without length.
func reset(response http.ResponseWriter) {
	conn, _, err := http.NewResponseController(response).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// relay writes answer to the caller. It flushes each chunk, so that a slow answer is streamed. The head is written with
// the first chunk or the end of the body; started reports whether it was.
func relay(response http.ResponseWriter, answer forwarder.Answer) (started bool, err error) {
	header := response.Header()
	buf := make([]byte, relayBufferBytes)
	var received int64
	for {
		n, readErr := answer.Body.Read(buf)
		received += int64(n)
		if readErr == nil && isWhole(answer, received) {
			// The caller has its whole answer, and may send the next request on its connection.
			defer abortAfter(answer.Body, lastFrameWait).Stop()
		}
		ended, err := bodyEnd(answer, received, readErr)
		if err != nil && !started {
			return false, err
		}
		if !started {
			started = true
			maps.Copy(header, answer.Header)
			response.WriteHeader(answer.Status)
		}
		if n > 0 {
			if _, err := response.Write(buf[:n]); err != nil {
				return true, errors.Wrap(err, "write to caller")
			}
			_ = http.NewResponseController(response).Flush()
		}
		if err != nil {
			return true, err
		}
		if ended {
			sendTrailer(header, answer.Body)
			return true, nil
		}
	}
}

// isWhole reports whether the length that the answer states was received.
func isWhole(answer forwarder.Answer, received int64) bool {
	return strconv.FormatInt(received, 10) == answer.Header.Get("Content-Length")
}

// abortAfter ends reads of body after wait.
func abortAfter(body io.Reader, wait time.Duration) *time.Timer {
	return time.AfterFunc(wait, func() {
		if aborter, ok := body.(forwarder.Aborter); ok {
			aborter.Abort()
		}
	})
}

// bodyEnd returns whether the body of answer is complete after received bytes, the last of which came with readErr, or
// the error if it ended early.
func bodyEnd(answer forwarder.Answer, received int64, readErr error) (ended bool, err error) {
	switch {
	case errors.Is(readErr, io.EOF):
		return true, nil
	case errors.Is(readErr, forwarder.ErrTruncated) && isWhole(answer, received):
		// The whole body arrived, only the end frame did not.
		return true, nil
	default:
		return false, readErr
	}
}

// sendTrailer adds the trailers of a complete answer, which net/http then writes after the body.
func sendTrailer(header http.Header, body io.Reader) {
	trailed, ok := body.(forwarder.TrailerBody)
	if !ok {
		return
	}
	for name, values := range trailed.Trailer() {
		if !strings.HasPrefix(name, headerPrefix) {
			header[http.TrailerPrefix+name] = values
		}
	}
}

// closeNotifyBody calls done when the answer is closed, and cancel to end reads of it.
type closeNotifyBody struct {
	io.ReadCloser

	done   func()
	cancel func()
}

// Await implements forwarder.Awaiter.
func (b closeNotifyBody) Await() error {
	if awaiter, ok := b.ReadCloser.(forwarder.Awaiter); ok {
		return errors.Wrap(awaiter.Await(), "await answer")
	}
	return nil
}

// Abort implements forwarder.Aborter.
func (b closeNotifyBody) Abort() { b.cancel() }

// Trailer implements forwarder.TrailerBody.
func (b closeNotifyBody) Trailer() http.Header {
	if trailed, ok := b.ReadCloser.(forwarder.TrailerBody); ok {
		return trailed.Trailer()
	}
	return nil
}

// Close implements io.Closer.
func (b closeNotifyBody) Close() error {
	defer b.done()
	return errors.Wrap(b.ReadCloser.Close(), "close answer")
}
