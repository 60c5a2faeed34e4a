// Package bounder bounds the memory that the heads of the requests to an HTTP server take.
package bounder

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes are in bytes of memory. net/http bounds the bytes of a head, but a header field takes fieldOverhead beside them.
const (
	fieldOverhead = 128
	// maxHead bounds one head: 64 KB in 1,000 lines. Of the heads of one listener, what lies beyond ownMemory each shares
	// sharedMemory. Usual heads take less than ownMemory, so a sender of large ones cannot starve them.
	maxHead      = 192 << 10
	ownMemory    = 16 << 10
	sharedMemory = 4 << 20
)

// lingerTime is how long a connection stays open after a refusal. What is unread when it closes may destroy the refusal on
// its way.
const lingerTime = 500 * time.Millisecond

// errRefused has a type after which net/http sends no answer of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request is refused")}

// Refusals of heads. No handler has seen the request then.
const (
	refuseTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refuseNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Bound returns a listener for server that accepts the TCP connections of inner. It replaces server.ConnState with a function
// that also calls the previous one. A request whose head takes too much memory is answered with 431; one for which there is no
// memory now, with 503.
func Bound(server *http.Server, inner net.Listener) net.Listener {
	previous := server.ConnState
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if bounded, ok := accepted.(*conn); ok && state == http.StateIdle {
			bounded.endRequest()
		}
		if previous != nil {
			previous(accepted, state)
		}
	}
	shared := new(atomic.Int64)
	shared.Store(sharedMemory)
	return &listener{inner, shared}
}

type listener struct {
	net.Listener

	shared *atomic.Int64
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	tcp, ok := accepted.(*net.TCPConn)
	if err != nil || !ok {
		return accepted, err //nolint:wrapcheck // net/http must see its own errors
	}
	return &conn{TCPConn: tcp, shared: l.shared}, nil
}

// conn is a connection that counts the memory of the head of its present request, until that request has ended.
type conn struct {
	*net.TCPConn

	shared  *atomic.Int64
	refused bool

	mu     sync.Mutex
	head   head
	drawn  int64
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	n, err := c.TCPConn.Read(p)
	if refusal := c.count(p[:n]); refusal != "" {
		c.refused = true
		_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
		_, _ = c.Write([]byte(refusal))
		_ = c.CloseWrite()
		time.Sleep(lingerTime)
		return 0, errRefused
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// count counts what was read, and returns the refusal of the head, if it is refused.
func (c *conn) count(read []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.add(read)
	if c.head.memory > maxHead {
		return refuseTooLarge
	}
	missing := c.head.memory - ownMemory - c.drawn
	if missing <= 0 || c.closed {
		return ""
	}
	if c.shared.Add(-missing) < 0 {
		c.shared.Add(missing)
		return refuseNoMemory
	}
	c.drawn += missing
	return ""
}

// endRequest frees the memory of the request that has ended.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free()
}

// free frees the memory of the present request. The caller holds mu.
func (c *conn) free() {
	c.shared.Add(c.drawn)
	c.drawn, c.head = 0, head{}
}

// Close implements net.Conn. A read that is still in progress draws no memory any more.
func (c *conn) Close() error {
	c.mu.Lock()
	c.free()
	c.closed = true
	c.mu.Unlock()
	return c.TCPConn.Close() //nolint:wrapcheck // net/http must see its own errors
}

// head measures a head as it is read. It ends with the first empty line; what follows is not counted.
type head struct {
	memory int64
	ended  bool
	line   int
	last   byte
}

func (h *head) add(read []byte) {
	for _, b := range read {
		if h.ended {
			return
		}
		h.memory++
		if b != '\n' {
			h.line, h.last = h.line+1, b
			continue
		}
		h.ended = h.line == 0 || h.line == 1 && h.last == '\r'
		h.memory += fieldOverhead
		h.line = 0
	}
}
