package acceptor_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// packet is what was read from a connection at once; an empty one closes it.
type packet struct {
	to   net.Conn
	data []byte
}

// link is a network link of a bandwidth, in bytes per second, with one queue in each direction for all its connections.
type link struct {
	listener  net.Listener
	to        string
	bandwidth int
	group     *errgroup.Group
	forward   chan packet
	backward  chan packet
}

// newLink returns a link to the address to, which lasts until the test ends.
func newLink(t *testing.T, to string, bandwidth int) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{
		listener: listener, to: to, bandwidth: bandwidth, group: new(errgroup.Group),
		forward: make(chan packet, 1<<12), backward: make(chan packet, 1<<12),
	}
	t.Cleanup(func() { _ = listener.Close() })
	l.group.Go(l.accept)
	l.group.Go(func() error { return l.deliver(l.forward) })
	l.group.Go(func() error { return l.deliver(l.backward) })
	return l
}

func (l *link) accept() error {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return err
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.group.Go(func() error { return read(near, far, l.forward) })
		l.group.Go(func() error { return read(far, near, l.backward) })
	}
}

// read puts what arrives from one end of a connection into the queue of its direction.
func read(from, to net.Conn, queue chan<- packet) error {
	for {
		data := make([]byte, 32<<10)
		n, err := from.Read(data)
		queue <- packet{to, data[:n]}
		if err != nil {
			queue <- packet{to: to}
			return nil
		}
	}
}

// deliver sends the packets of one direction in their order, each after the time that it occupies the link.
func (l *link) deliver(queue <-chan packet) error {
	for p := range queue {
		time.Sleep(time.Duration(len(p.data)) * time.Second / time.Duration(l.bandwidth))
		if len(p.data) == 0 {
			_ = p.to.Close()
			continue
		}
		_, _ = p.to.Write(p.data)
	}
	return nil
}

// newLateLink returns the address of a link to the address to that holds each new connection back for delay.
func newLateLink(t *testing.T, to string, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	group := new(errgroup.Group)
	group.Go(func() error {
		for {
			near, err := listener.Accept()
			if err != nil {
				return err
			}
			group.Go(func() error {
				time.Sleep(delay)
				far, err := net.Dial("tcp", to)
				if err != nil {
					return near.Close()
				}
				group.Go(func() error { return pipe(far, near) })
				return pipe(near, far)
			})
		}
	})
	return listener.Addr().String()
}

func pipe(from, to net.Conn) error {
	_, _ = io.Copy(to, from)
	return to.Close()
}

// newHeldLink returns the address of a link to the address to. While held is set it delivers nothing to the entry over the
// connections that were opened before, or over any connection if all is set.
func newHeldLink(t *testing.T, to string, held *atomic.Bool, all bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		held.Store(false)
		_ = listener.Close()
	})
	group := new(errgroup.Group)
	group.Go(func() error {
		for {
			near, err := listener.Accept()
			if err != nil {
				return err
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				return err
			}
			holds := all || !held.Load()
			group.Go(func() error { return pipe(near, far) })
			group.Go(func() error { return pipe(heldConn{far, held, holds}, near) })
		}
	})
	return listener.Addr().String()
}

// heldConn is a connection whose bytes wait while held is set, if holds is.
type heldConn struct {
	net.Conn

	held  *atomic.Bool
	holds bool
}

func (c heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.holds && c.held.Load() {
		time.Sleep(time.Millisecond)
	}
	return n, err
}
