package messenger

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// memberTime is the time in which a member completes its handshake: three round trips over a new connection between regions,
	// with room to spare. Only older connections are closed for new ones.
	memberTime = 300 * time.Millisecond
	// maxExcess bounds the handshakes in progress while none is older than memberTime, as a multiple of the limit. All members of a
	// fleet connect at once when a process of it is back.
	maxExcess = 4
)

// handshakes holds the connections whose handshake is in progress, oldest first.
type handshakes struct {
	// limit is the number of them from which on old ones are closed, or 0 for no bound.
	limit int

	mu      sync.Mutex
	pending []handshake
}

type handshake struct {
	conn  net.Conn
	since time.Time
}

// begin adds conn, and closes the oldest connection if there are too many. Its bytes are dropped, since the kernel would keep them
// for it after an orderly close.
func (h *handshakes) begin(now time.Time, conn net.Conn) {
	if h.limit == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	number := len(h.pending)
	if number >= maxExcess*h.limit || number >= h.limit && now.Sub(h.pending[0].since) >= memberTime {
		oldest := h.pending[0].conn
		if tcp, ok := oldest.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = oldest.Close()
		h.pending = slices.Delete(h.pending, 0, 1)
	}
	h.pending = append(h.pending, handshake{conn, now})
}

// end removes conn, unless it was closed by begin.
func (h *handshakes) end(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = slices.DeleteFunc(h.pending, func(other handshake) bool { return other.conn == conn })
}
