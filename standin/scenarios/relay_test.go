package scenarios_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// relay forwards TCP connections to destination. It can drop the bytes of one direction or both, as a network partition
// does: open connections stay open and new ones are accepted.
type relay struct {
	destination  string
	listener     net.Listener
	dropForward  atomic.Bool
	dropBackward atomic.Bool

	mu               sync.Mutex
	conns            []net.Conn
	connectionFaults []*connectionFault
}

// connectionFault makes the relay drop the bytes of a single connection, by direction. A middlebox that has lost the
// connection's state does the same.
type connectionFault struct {
	dropForward  atomic.Bool
	dropBackward atomic.Bool
}

// relayCommand starts a relay to an address and sets variable NAME to the relay's address: relay NAME ADDRESS. A process
// that uses $NAME in place of ADDRESS can then be partitioned from it.
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

// cutCommand starts to drop all bytes in one or both directions: cut NAME forward|backward|both. Forward is the direction
// in which connections are opened.
func cutCommand(ts *testscript.TestScript, _ bool, args []string) {
	r := relayOf(ts, args[0])
	r.dropForward.Store(args[1] != "backward")
	r.dropBackward.Store(args[1] != "forward")
}

// healCommand ends a cut: heal NAME. Open connections are closed, because some of their bytes are lost.
func healCommand(ts *testscript.TestScript, _ bool, args []string) {
	r := relayOf(ts, args[0])
	r.dropForward.Store(false)
	r.dropBackward.Store(false)
	r.closeConnections()
}

// stallCommand drops the bytes of the connections that are open now, while new ones work:
// stall NAME forward|backward|both.
func stallCommand(ts *testscript.TestScript, _ bool, args []string) {
	r := relayOf(ts, args[0])
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fault := range r.connectionFaults {
		fault.dropForward.Store(args[1] != "backward")
		fault.dropBackward.Store(args[1] != "forward")
	}
}

func relayOf(ts *testscript.TestScript, name string) *relay {
	f := fleetOf(ts)
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.relays[name]
	if !ok {
		ts.Fatalf("relay %s was not started", name)
	}
	return r
}

// serve accepts connections and forwards each over a connection of its own until the listener is closed.
func (r *relay) serve() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.DialTimeout("tcp", r.destination, time.Second)
		if err != nil {
			_ = inbound.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, inbound, outbound)
		fault := &connectionFault{}
		r.connectionFaults = append(r.connectionFaults, fault)
		r.mu.Unlock()
		go copyStream(outbound, inbound, &r.dropForward, &fault.dropForward)
		go copyStream(inbound, outbound, &r.dropBackward, &fault.dropBackward)
	}
}

// copyStream copies bytes of one direction until one side ends, and drops them while a fault is set.
func copyStream(to io.WriteCloser, from io.ReadCloser, relayDrops, connectionDrops *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !relayDrops.Load() && !connectionDrops.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// A partition also hides that the peer closed its connection.
	if !relayDrops.Load() && !connectionDrops.Load() {
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
