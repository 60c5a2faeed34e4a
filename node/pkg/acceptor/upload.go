package acceptor

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxDiscardBytes and discardTimeout bound the body that is read before a request is refused without it, so that its
	// connection can be kept.
	maxDiscardBytes = 256 << 10
	discardTimeout  = 20 * time.Millisecond
)

// uploadWriter answers a request whose body may still be on its way. By default, net/http reads the rest of the body before
// it writes an answer: the caller waits for its own upload, and a target that still reads misses those bytes. An answer
// that closes its connection is written at once.
type uploadWriter struct {
	http.ResponseWriter

	upload *upload
}

// upload is the body of a request.
type upload struct {
	io.ReadCloser

	request    *http.Request
	connection *http.ResponseController
	maxStall   time.Duration
	started    atomic.Bool
	ended      atomic.Bool
}

// BodyLimits bounds the bodies of requests: MaxBytes their length, and MaxStall the time between two parts that arrive. 0 sets
// no bound.
type BodyLimits struct {
	MaxBytes int64
	MaxStall time.Duration
}

var errBodyStalled = errors.New("no part of the body arrived in time")

// AllowEarlyAnswer returns response and request so that the request can be answered before its body was read. The
// connection of such a request is closed after its answer. Reads of the body fail if it stalls.
func (a *Acceptor) AllowEarlyAnswer(response http.ResponseWriter, request *http.Request) (http.ResponseWriter, *http.Request) {
	if request.Body == nil || request.Body == http.NoBody {
		return response, request
	}
	tracked := request.WithContext(request.Context())
	upload := &upload{
		ReadCloser: request.Body, request: request, connection: http.NewResponseController(response), maxStall: a.BodyLimits.MaxStall,
	}
	tracked.Body = upload
	return &uploadWriter{ResponseWriter: response, upload: upload}, tracked
}

// Unwrap lets http.ResponseController find the methods of the wrapped writer.
func (w *uploadWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *uploadWriter) WriteHeader(status int) {
	if !w.upload.ended.Load() && !w.discard() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// discard reads a short body that nothing else reads, and reports whether it arrived in full.
func (w *uploadWriter) discard() bool {
	request := w.upload.request
	short := request.ContentLength >= 0 && request.ContentLength <= maxDiscardBytes
	if !short || w.upload.started.Load() || request.Header.Get("Expect") != "" {
		return false
	}
	controller := http.NewResponseController(w.ResponseWriter)
	if err := controller.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, w.upload)
	_ = controller.SetReadDeadline(time.Time{})
	return w.upload.ended.Load()
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.started.Store(true)
	if u.maxStall > 0 {
		_ = u.connection.SetReadDeadline(time.Now().Add(u.maxStall))
	}
	n, err := u.ReadCloser.Read(p)
	if u.maxStall > 0 {
		// A deadline that stays would end the wait for the next request on the connection.
		_ = u.connection.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, io.EOF):
		u.ended.Store(true)
	case errors.Is(err, os.ErrDeadlineExceeded) && u.maxStall > 0:
		return n, errors.CombineErrors(errBodyStalled, err)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}
