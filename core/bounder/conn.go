package bounder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeBytes is what one write passes to the kernel at most, so that the progress of a slow reader is seen.
const writeBytes = 16 << 10

// phase is what a connection does. The process waits for its client to send except in handling.
type phase = int32

const (
	// inHead is a connection of which no request was handled, or the head of whose next request has begun.
	inHead phase = iota
	inBody
	// handling is a connection whose request has arrived in full. A read serves only to notice that the client leaves.
	handling
	idle
)

// conn is a connection that counts the memory of the head of its present request, until that request has ended. With a budget it
// also records how its client proceeds.
type conn struct {
	*net.TCPConn

	heads            heads
	maxHead, ownHead int64
	refused          bool

	mu     sync.Mutex
	head   head
	drawn  int64
	closed bool

	// budget is nil for a connection of which only heads are bounded. left belongs to the budget and is guarded by its mu.
	budget *Budget
	door   Door
	left   bool
	held   atomic.Int64
	phase  atomic.Int32
	// readSince and writeSince are the times since which a read or write waits, or the idle time began, in nanoseconds; 0 for none.
	readSince, writeSince atomic.Int64
	// recent counts the bytes of the present window and earlier those of the one before.
	recent, earlier atomic.Int64
	pace            Pace
	// ended counts the requests that have ended, and paced is that number as of the last sweep: the pace is that of one request.
	ended atomic.Int64
	paced int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	c.readSince.CompareAndSwap(0, time.Now().UnixNano())
	n, err := c.TCPConn.Read(p)
	c.readSince.Store(0)
	c.recent.Add(int64(n))
	if n > 0 {
		c.phase.CompareAndSwap(idle, inHead)
	}
	if refusal := c.count(p[:n]); refusal != "" {
		c.refused = true
		_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
		_, _ = c.TCPConn.Write([]byte(refusal))
		_ = c.CloseWrite()
		time.Sleep(lingerTime)
		return 0, errRefused
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(written+writeBytes, len(p))]
		c.writeSince.Store(time.Now().UnixNano())
		n, err := c.TCPConn.Write(part)
		c.writeSince.Store(0)
		c.recent.Add(int64(n))
		written += n
		if err != nil || written == len(p) {
			return written, err //nolint:wrapcheck // net/http must see its own errors
		}
	}
}

// ReadFrom implements io.ReaderFrom by writes, which are counted.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source) //nolint:wrapcheck // net/http must see its own errors
}

// count counts what was read, and returns the refusal of the head, if it is refused.
func (c *conn) count(read []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.add(read)
	if c.head.memory > c.maxHead {
		return refuseTooLarge
	}
	missing := c.head.memory - c.ownHead - c.drawn
	if missing <= 0 || c.closed {
		return ""
	}
	if !c.heads.take(c, missing) {
		return refuseNoMemory
	}
	c.drawn += missing
	return ""
}

// headMemory returns the memory of the head of the present request.
func (c *conn) headMemory() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.memory
}

// endRequest frees the memory of the request that has ended.
func (c *conn) endRequest() {
	c.phase.Store(idle)
	c.ended.Add(1)
	c.readSince.Store(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free()
}

// free frees the memory of the present request. The caller holds mu.
func (c *conn) free() {
	if c.drawn > 0 {
		c.heads.give(c, c.drawn)
	}
	c.drawn, c.head = 0, head{}
}

// Close implements net.Conn. A read that is still in progress draws no memory any more.
func (c *conn) Close() error {
	c.mu.Lock()
	c.free()
	c.closed = true
	c.mu.Unlock()
	if c.budget != nil {
		c.budget.leave(c)
	}
	return c.TCPConn.Close() //nolint:wrapcheck // net/http must see its own errors
}

// abort closes the connection at once. The kernel drops what is unread, and the reads and writes in progress fail.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// holder returns what the connection holds at now.
func (c *conn) holder(now time.Time) Holder {
	h := Holder{Memory: c.held.Load(), Recent: c.recent.Load() + c.earlier.Load()}
	current := c.phase.Load()
	h.Idle = current == idle
	since := c.writeSince.Load()
	if since == 0 && current != handling {
		since = c.readSince.Load()
	}
	if since != 0 {
		h.Waited = now.Sub(time.Unix(0, since))
	}
	return h
}
