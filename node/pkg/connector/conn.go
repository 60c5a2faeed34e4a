package connector

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/validator"
)

const readBufferBytes = 4 << 10

// conn is a connection to a target that carries one exchange at a time.
type conn struct {
	*validator.Conn

	address   string
	reader    *bufio.Reader
	idleSince time.Time
	reused    bool
	written   atomic.Bool
}

func newConn(address string, inner net.Conn) *conn {
	checked := validator.NewConn(inner)
	return &conn{Conn: checked, address: address, reader: bufio.NewReaderSize(checked, readBufferBytes)}
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

// usable reports whether the peer has neither closed the idle connection nor sent anything on it. An answer that
// arrives without a request belongs to an earlier request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
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
