package bounder

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Sizes in bytes.
const (
	// socketBytes is the buffer of the kernel for each direction of a connection. It carries 5 MB/s to a client 3 ms away,
	// nine times what the link of the users' nodes does.
	socketBytes = 32 << 10
	// connMemory is what a connection takes by itself: two goroutines, two buffers of 4 KB, and a small head.
	connMemory = 16 << 10
	// requestMemory is what a request takes beside its head and body: the goroutines of its attempt, and a buffer of 32 KB
	// for its answer.
	requestMemory = 48 << 10
	// maxLargeHead is the memory of a head of 16 KB of the shortest fields there are, 4 bytes each.
	maxLargeHead = 16 << 10 / 4 * (fieldOverhead + 4)
	// ownLargeHead is the memory of a usual head; connMemory contains it.
	ownLargeHead = 4 << 10
	// headCopies is how often a head is in memory beside its first form while its request is handled: without the fields of one hop,
	// and as a message to the gate.
	headCopies = 2
)

var errNoMemory = errors.New("no memory for more of the body of the request")

// Door describes a listener. Kept is how much of the body of a request its handler keeps in memory; if
// Whole is set, it may keep all of a long one, which is then counted as it arrives. Main is set for the listener to which most
// clients connect: it has a part of the budget of its own.
type Door struct {
	Kept  int64
	Whole bool
	Main  bool
}

// Bound is like the function of that name, but bounds all that the clients of server take: it also replaces server.Handler and
// server.ConnContext. Without a budget it is that function.
func (b *Budget) Bound(server *http.Server, inner net.Listener, door Door) net.Listener {
	if b == nil {
		return Bound(server, inner)
	}
	b.boundSockets(inner)
	onIdle(server, (*conn).endRequest)
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	server.Handler = b.handler(server.Handler, door)
	return &listener{Listener: inner, wrap: func(tcp *net.TCPConn) *conn {
		c := &conn{TCPConn: tcp, heads: b, maxHead: maxLargeHead, ownHead: ownLargeHead, budget: b, door: door}
		if !b.join(c) {
			return nil
		}
		return c
	}}
}

// boundSockets bounds the kernel's buffers of the connections that listener will accept. What has arrived and was not read counts as
// memory of the process.
func (b *Budget) boundSockets(listener net.Listener) {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.CombineErrors(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBytes), //nolint:gosec // a descriptor is small
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBytes), //nolint:gosec // a descriptor is small
			)
		})
		err = errors.CombineErrors(err, controlErr)
	}
	if err != nil {
		b.log.Warn("buffers of connections are not bounded", "error", err)
	}
}

// unread returns how many bytes have arrived and were not read, or 0 if that is unknown.
func (c *conn) unread() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	number := 0
	_ = raw.Control(func(fd uintptr) {
		number, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) //nolint:gosec // a descriptor is small
	})
	return number
}

type connKey struct{}

// handler returns a handler that passes a request to next if there is memory for it.
func (b *Budget) handler(next http.Handler, door Door) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		memory := requestMemory + headCopies*c.headMemory()
		if hasBody {
			memory += bodyMemory(r.ContentLength, door)
		}
		if !b.take(c, memory) {
			b.reject(rejectedRequests)
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if hasBody {
			c.phase.Store(inBody)
			counted := &countedBody{ReadCloser: r.Body, conn: c}
			if door.Whole {
				counted.unkept = door.Kept
			}
			// net/http looks at the body of its own request once the handler has returned.
			r = r.WithContext(r.Context())
			r.Body = counted
			defer func() {
				counted.handled.Store(true)
				b.give(c, memory+counted.taken)
			}()
		} else {
			c.phase.Store(handling)
			defer func() { b.give(c, memory) }()
		}
		next.ServeHTTP(w, r)
	})
}

// bodyMemory returns the memory of a body of length bytes, or of unknown length: what its handler keeps, and what the kernel holds.
func bodyMemory(length int64, door Door) int64 {
	if length < 0 {
		return door.Kept + socketBytes
	}
	return min(length, door.Kept) + min(length, socketBytes)
}

// countedBody is the body of a request. If its handler keeps all of it, what exceeds unkept is taken from the budget as it arrives.
type countedBody struct {
	io.ReadCloser

	conn   *conn
	unkept int64
	read   int64
	taken  int64
	// handled is set once the handler has returned. The connection may carry another request then.
	handled atomic.Bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) && !b.handled.Load() {
		b.conn.phase.CompareAndSwap(inBody, handling)
	}
	if missing := b.read - b.unkept - b.taken; b.unkept > 0 && missing > 0 {
		if !b.conn.budget.take(b.conn, missing) {
			b.conn.budget.close(b.conn, closedShort)
			return 0, errNoMemory
		}
		b.taken += missing
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}
