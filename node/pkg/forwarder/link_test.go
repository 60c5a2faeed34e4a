package forwarder_test

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// link forwards TCP connections, and can hold back the bytes of those that are open.
type link struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	open   []*held
	denied int
}

// held is one direction of a connection whose bytes can be kept back.
type held struct {
	forward bool
	to      net.Conn

	mu   sync.Mutex
	hold bool
	kept []byte
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	l := &link{listener: listener, to: to}
	go l.serve()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		deny := l.denied > 0
		l.denied--
		l.mu.Unlock()
		far, err := net.Dial("tcp", l.to)
		if err != nil || deny {
			_ = near.Close()
			continue
		}
		there, back := &held{forward: true, to: far}, &held{to: near}
		l.mu.Lock()
		l.open = append(l.open, there, back)
		l.mu.Unlock()
		go there.copy(near)
		go back.copy(far)
	}
}

// connections returns how many connections were opened.
func (l *link) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) / 2
}

// deny refuses the next connections.
func (l *link) deny(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denied = count
}

// stall keeps back what goes forward, or backward, on the connections that are open. It returns what lets it pass.
func (l *link) stall(forward bool) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := l.open
	for _, h := range open {
		h.mu.Lock()
		h.hold = h.forward == forward
		h.mu.Unlock()
	}
	return func() {
		for _, h := range open {
			h.mu.Lock()
			h.hold = false
			_, _ = h.to.Write(h.kept)
			h.kept = nil
			h.mu.Unlock()
		}
	}
}

func (h *held) copy(from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		h.mu.Lock()
		if h.hold {
			h.kept = append(h.kept, buf[:n]...)
		} else {
			_, _ = h.to.Write(buf[:n])
		}
		closing := err != nil && !h.hold
		h.mu.Unlock()
		if closing {
			_ = h.to.Close()
		}
		if err != nil {
			return
		}
	}
}
