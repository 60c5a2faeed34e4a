package forwarder_test

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// link forwards TCP connections. It can stall the connections that are open, and refuse new ones.
type link struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	open    []*direction
	denials int
	hold    bool
}

// direction is one direction of a connection. While it is stalled, it buffers the bytes that it reads.
type direction struct {
	forward bool
	to      net.Conn

	mu       sync.Mutex
	stalled  bool
	buffered []byte
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
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		deny := l.denials > 0
		l.denials--
		l.mu.Unlock()
		server, err := net.Dial("tcp", l.to)
		if err != nil || deny {
			_ = client.Close()
			continue
		}
		forward, backward := &direction{forward: true, to: server}, &direction{to: client}
		l.mu.Lock()
		forward.stalled = l.hold
		l.open = append(l.open, forward, backward)
		l.mu.Unlock()
		go forward.copy(client)
		go backward.copy(server)
	}
}

// connections returns the number of connections opened so far.
func (l *link) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) / 2
}

// deny makes the link close the next count connections at once.
func (l *link) deny(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denials = count
}

// stall stops the open connections in one direction: towards the server if forward is set, or else towards the
// client. The function that it returns delivers the buffered bytes and ends the stall.
func (l *link) stall(forward bool) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := l.open
	for _, d := range open {
		d.mu.Lock()
		d.stalled = d.forward == forward
		d.mu.Unlock()
	}
	return func() {
		for _, d := range open {
			d.mu.Lock()
			d.stalled = false
			_, _ = d.to.Write(d.buffered)
			d.buffered = nil
			d.mu.Unlock()
		}
	}
}

// reset closes the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.open {
		_ = d.to.Close()
	}
}

// stallNew stalls connections towards the server from their start. The function that it returns delivers the buffered
// bytes and ends the stall.
func (l *link) stallNew() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = true
	return func() {
		l.mu.Lock()
		l.hold = false
		l.mu.Unlock()
		l.stall(true)()
	}
}

func (d *direction) copy(from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		d.mu.Lock()
		if d.stalled {
			d.buffered = append(d.buffered, buf[:n]...)
		} else {
			_, _ = d.to.Write(buf[:n])
		}
		closing := err != nil && !d.stalled
		d.mu.Unlock()
		if closing {
			_ = d.to.Close()
		}
		if err != nil {
			return
		}
	}
}
