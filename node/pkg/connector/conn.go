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
	reused    bool
	written   atomic.Bool
}

func newConn(address string, inner net.Conn) *conn {
	limited := &io.LimitedReader{R: inner, N: math.MaxInt64}
	return &conn{Conn: inner, address: address, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
}

// Write implements io.Writer. It sets written before the kernel can have accepted a byte, and resets it only if the
// kernel accepted none.
func (c *conn) Write(p []byte) (int, error) {
	wasWritten := c.written.Swap(true)
	n, err := c.Conn.Write(p)
	if n == 0 && !wasWritten {
		c.written.Store(false)
	}
	return n, errors.Wrap(err, "write to target")
}

// limitHead bounds the bytes read until unlimit is called, so that a target can't exhaust memory with an endless
// head.
func (c *conn) limitHead() { c.limited.N = maxHeadBytes }

func (c *conn) unlimit() { c.limited.N = math.MaxInt64 }

// usable reports whether the peer has neither closed the idle connection nor sent anything on it. An answer that
// arrives without a request belongs to an earlier request.
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
