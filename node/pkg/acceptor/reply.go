package acceptor

import (
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

const relayBufferBytes = 32 << 10

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

// Relay writes answer with its headers to the caller of request, called id. If the answer ends early, Relay aborts the
// connection by panicking with http.ErrAbortHandler, so that the caller sees that the answer is truncated.
func (a *Acceptor) Relay(response http.ResponseWriter, request *http.Request, id string, answer forwarder.Answer) {
	if err := relay(response, answer); err != nil {
		a.RouteLog.Warn("answer cut", "request", id, "reason", err.Error())
		if !request.ProtoAtLeast(1, 1) {
			reset(response)
		}
		panic(http.ErrAbortHandler)
	}
	a.RouteLog.Info("request answered", "request", id, "status", answer.Status, "outcome", refuser.Ran{})
}

// reset resets the connection of response. A caller of HTTP/1.0 would take an orderly close for the end of an answer
// without length.
func reset(response http.ResponseWriter) {
	conn, _, err := http.NewResponseController(response).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// relay writes answer to the caller. It flushes each chunk, so that a slow answer is streamed.
func relay(response http.ResponseWriter, answer forwarder.Answer) error {
	header := response.Header()
	maps.Copy(header, answer.Header)
	response.WriteHeader(answer.Status)
	buf := make([]byte, relayBufferBytes)
	var written int64
	for {
		n, err := answer.Body.Read(buf)
		written += int64(n)
		if n > 0 {
			if _, err := response.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "write to caller")
			}
			_ = http.NewResponseController(response).Flush()
		}
		if errors.Is(err, io.EOF) {
			sendTrailer(header, answer.Body)
			return nil
		}
		if errors.Is(err, forwarder.ErrTruncated) && strconv.FormatInt(written, 10) == answer.Header.Get("Content-Length") {
			// The caller received the whole body and left before the end frame arrived.
			return nil
		}
		if err != nil {
			return err
		}
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

// closeNotifyBody calls done when the answer is closed.
type closeNotifyBody struct {
	io.ReadCloser

	done func()
}

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
