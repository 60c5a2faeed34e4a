package scenarios_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// relay forwards TCP connections and can drop the bytes of one direction or both, as a network partition does: the
// connections stay open and new ones are taken.
type relay struct {
	destination  string
	listener     net.Listener
	dropForward  atomic.Bool
	dropBackward atomic.Bool

	mu               sync.Mutex
	conns            []net.Conn
	connectionFaults []*connectionFault
}

// connectionFault are the two directions of one connection. Each can be stalled by itself, as by a middle box that lost the
// connection's state.
type connectionFault struct {
	dropForward  atomic.Bool
	dropBackward atomic.Bool
}

// relayCommand starts a relay to an address and puts its own into the environment: relay NAME ADDRESS. A process that
// uses $NAME in place of ADDRESS can then be cut from it.
func relayCommand(ts *testscript.TestScript, _ bool, args []string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	r := &relay{destination: args[1], listener: listener}
	f := fleetOf(ts)
	f.mu.Lock()
	f.relays[args[0]] = r
	f.mu.Unlock()
	ts.Setenv(args[0], listener.Addr().String())
	go r.serve()
}

// cutCommand drops bytes from now on: cut NAME forward|backward|both. Forward is the direction in which the
// connections were opened.
func cutCommand(ts *testscript.TestScript, _ bool, args []string) {
	r := relayOf(ts, args[0])
	r.dropForward.Store(args[1] != "backward")
	r.dropBackward.Store(args[1] != "forward")
}

// healCommand ends a cut: heal NAME. Connections from before the cut are closed, since bytes of theirs are lost.
func healCommand(ts *testscript.TestScript, _ bool, args []string) {
	r := relayOf(ts, args[0])
	r.dropForward.Store(false)
	r.dropBackward.Store(false)
	r.closeConnections()
}

// stallCommand drops the bytes of the connections that are open now, while new ones work: stall NAME
// forward|backward|both.
func stallCommand(ts *testscript.TestScript, _ bool, args []string) {
	r := relayOf(ts, args[0])
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, open := range r.connectionFaults {
		open.dropForward.Store(args[1] != "backward")
		open.dropBackward.Store(args[1] != "forward")
	}
}

func relayOf(ts *testscript.TestScript, name string) *relay {
	f := fleetOf(ts)
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.relays[name]
	if !ok {
		ts.Fatalf("no relay is called %s", name)
	}
	return r
}

func (r *relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", r.destination, time.Second)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, near, far)
		both := &connectionFault{}
		r.connectionFaults = append(r.connectionFaults, both)
		r.mu.Unlock()
		go copyStream(far, near, &r.dropForward, &both.dropForward)
		go copyStream(near, far, &r.dropBackward, &both.dropBackward)
	}
}

func copyStream(to io.WriteCloser, from io.ReadCloser, cut, stalled *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !cut.Load() && !stalled.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// A cut also hides that a side closed its connection.
	if !cut.Load() && !stalled.Load() {
		_ = to.Close()
	}
	_ = from.Close()
}

func (r *relay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns, r.connectionFaults = nil, nil
}
