package validator

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrBroken replaces io.EOF on a connection that was not closed in order.
var ErrBroken = errors.New("the connection has failed")

// Conn is a TCP connection on which io.EOF means that the peer has closed its side in order and nothing has failed, in either
// direction. The kernel reports the error of a connection once: if a write gets it, the next read sees an end of stream.
type Conn struct {
	net.Conn

	failed atomic.Bool
}

var _ syscall.Conn = (*Conn)(nil)

// NewConn returns inner as a Conn.
func NewConn(inner net.Conn) *Conn { return &Conn{Conn: inner} }

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && (c.failed.Load() || !c.connected()) {
		return n, ErrBroken
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err //nolint:wrapcheck // net/http must see its own errors
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return inner.SyscallConn() //nolint:wrapcheck // it is passed on
}

// connected reports whether the connection still has a peer. One that the peer has reset or that has timed out has none, even
// while a write that has taken the error of the connection has not returned yet. One that the peer has closed in order has,
// until this side closes it too.
func (c *Conn) connected() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var nameErr error
	err = raw.Control(func(fd uintptr) { _, nameErr = syscall.Getpeername(int(fd)) })
	return err == nil && nameErr == nil
}
