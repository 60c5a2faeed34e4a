package connector

import (
	"bufio"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBufferBytes = 4 << 10
	maxHeadBytes    = 256 << 10
)

// conn is a connection to a target that carries one exchange at a time.
type conn struct {
	net.Conn

	address   string
	reader    *bufio.Reader
	limited   *io.LimitedReader
	idleSince time.Time
	written   atomic.Bool
}

func newConn(address string, inner net.Conn) *conn {
	limit := &io.LimitedReader{R: inner, N: math.MaxInt64}
	return &conn{Conn: inner, address: address, limited: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

// Write implements io.Writer. It marks the connection as touched before the kernel can have taken a byte, and takes
// the mark back only when the kernel took none.
func (c *conn) Write(p []byte) (int, error) {
	before := c.written.Swap(true)
	n, err := c.Conn.Write(p)
	if n == 0 && !before {
		c.written.Store(false)
	}
	return n, errors.Wrap(err, "write to target")
}

// limitHead bounds what is read until unlimit, so that a target can't fill the memory with an endless head.
func (c *conn) limitHead() { c.limited.N = maxHeadBytes }

func (c *conn) unlimit() { c.limited.N = math.MaxInt64 }

// usable reports whether the other side has neither closed the idle connection nor sent anything on it. An answer
// that nobody asked for belongs to an earlier request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
