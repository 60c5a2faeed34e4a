// Package bounder bounds the memory and the connections that clients of HTTP servers take.
package bounder

import (
	"net"
	"net/http"
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
// memory now, with 503. It bounds heads only, and those of this listener alone.
func Bound(server *http.Server, inner net.Listener) net.Listener {
	onIdle(server, (*conn).endRequest)
	shared := new(sharedHeads)
	shared.memory.Store(sharedMemory)
	return &listener{Listener: inner, wrap: func(tcp *net.TCPConn) *conn {
		return &conn{TCPConn: tcp, heads: shared, maxHead: maxHead, ownHead: ownMemory}
	}}
}

// onIdle calls ended when a request on a connection of server has ended, before server.ConnState.
func onIdle(server *http.Server, ended func(c *conn)) {
	previous := server.ConnState
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if bounded, ok := accepted.(*conn); ok && state == http.StateIdle {
			ended(bounded)
		}
		if previous != nil {
			previous(accepted, state)
		}
	}
}

// heads is the memory for heads. c is the connection that takes or returns it.
type heads interface {
	take(c *conn, memory int64) bool
	give(c *conn, memory int64)
}

// sharedHeads is the memory for the heads of one listener.
type sharedHeads struct{ memory atomic.Int64 }

func (s *sharedHeads) take(_ *conn, memory int64) bool {
	if s.memory.Add(-memory) < 0 {
		s.memory.Add(memory)
		return false
	}
	return true
}

func (s *sharedHeads) give(_ *conn, memory int64) { s.memory.Add(memory) }

type listener struct {
	net.Listener

	// wrap returns the connection to serve, or nil if it is refused.
	wrap func(tcp *net.TCPConn) *conn
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		tcp, ok := accepted.(*net.TCPConn)
		if err != nil || !ok {
			return accepted, err //nolint:wrapcheck // net/http must see its own errors
		}
		if wrapped := l.wrap(tcp); wrapped != nil {
			return wrapped, nil
		}
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
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
