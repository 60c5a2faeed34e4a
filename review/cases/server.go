package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	slots      = 5
	queue      = 24
	healthPath = "/healthz"
)

// execution is one run of a request on a server.
type execution struct {
	id      string
	method  string
	uri     string
	service string
	server  string
	at      time.Time
	ended   string
}

// server is a stand-in for an application server on the machine of a node. It follows the pages: it runs only requests
// that name it, has slots and a queue, stops at the deadline and when its connection closes, and sends heartbeats.
type server struct {
	world    *world
	machine  *machine
	instance string
	address  string
	born     int64
	running  *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
	slots    chan struct{}
	group    sync.WaitGroup
	// work is how long a request runs.
	work time.Duration
	// losesAnswer tells whether the answer to the attempt with that id is lost: the connection is reset after the run.
	losesAnswer func(id string) bool

	mu         sync.Mutex
	waiting    int
	sequence   int
	state      string
	executions []*execution
}

func (w *world) startServer(m *machine) (*server, error) {
	listener, err := net.Listen("tcp", m.at(portServer))
	if err != nil {
		return nil, err
	}
	s := &server{
		world: w, machine: m, instance: fmt.Sprintf("i-%s-%d", m.name, time.Now().UnixMilli()%100000), address: m.at(portServer),
		born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), work: 30 * time.Millisecond, state: "ready",
		losesAnswer: func(string) bool { return false },
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.group.Go(func() { _ = s.running.Serve(listener) })
	w.servers = append(w.servers, s)
	w.note("server %s of %s starts at %s", s.instance, m.service, s.address)
	return s, nil
}

// stop ends the server at once.
func (s *server) stop() {
	s.cancel()
	_ = s.running.Close()
	s.group.Wait()
}

// heartbeat returns the next heartbeat of the server.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": slots},
		"status": map[string]any{"state": s.state, "sequence_number": s.sequence, "cold_remaining_s": 0},
	})
	return body
}

// send sends a heartbeat and reports whether it was acknowledged.
func (s *server) send(method string, body []byte) bool {
	return s.sendTo(s.machine.at(portControl), method, body)
}

// sendTo sends a heartbeat to address and reports whether it was acknowledged within a second.
func (s *server) sendTo(address, method string, body []byte) bool {
	header := map[string]string{"Content-Type": "application/json"}
	got, err := exchangeWithin(time.Second, method, "http://"+address+pathInstances+s.instance, body, header)
	return err == nil && got.status >= 200 && got.status < 300
}

// beat sends heartbeats until the server stops or leaves.
func (s *server) beat() {
	s.group.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			s.mu.Lock()
			left := s.state == "left"
			s.mu.Unlock()
			if left {
				return
			}
			for range 20 {
				if s.send(http.MethodPut, s.heartbeat()) || s.ctx.Err() != nil {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			select {
			case <-s.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// setState changes what the next heartbeats say.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// announce sends a heartbeat with state until it is acknowledged, and returns the time of the acknowledgement.
func (s *server) announce(state string) (time.Time, bool) {
	s.setState(state)
	for range 20 {
		if s.send(http.MethodPut, s.heartbeat()) {
			at := time.Now()
			s.world.note("server %s: %s acknowledged", s.instance, state)
			return at, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

// leave sends the call with which a server says that it is gone, and returns the time of the acknowledgement.
func (s *server) leave() (time.Time, bool) {
	s.setState("left")
	for range 20 {
		if s.send(http.MethodDelete, nil) {
			at := time.Now()
			s.world.note("server %s: DELETE acknowledged", s.instance)
			return at, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

// reject answers that the request was not run.
func reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == healthPath && id == "" {
		w.Header().Set("Instance-Id", s.instance)
		return
	}
	if id == "" {
		reject(w, r, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.instance {
		s.world.note("server %s answers 421 to %s", s.instance, id)
		reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(time.Minute)
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if !s.acquire(r.Context(), deadline) {
		reject(w, r, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	run := s.begin(id, r)
	status := http.StatusOK
	select {
	case <-time.After(s.work):
	case <-time.After(time.Until(deadline)):
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		s.end(run, "cut")
		return
	}
	if s.losesAnswer(id) {
		s.end(run, "answer lost")
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Stamp", s.instance+"."+id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer to "+id+"\n")
	s.end(run, strconv.Itoa(status))
}

// acquire waits for a slot, unless the queue is full or the deadline passes.
func (s *server) acquire(ctx context.Context, deadline time.Time) bool {
	s.mu.Lock()
	if s.waiting >= queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-time.After(time.Until(deadline)):
	case <-ctx.Done():
	}
	return false
}

func (s *server) begin(id string, r *http.Request) *execution {
	run := &execution{id: id, method: r.Method, uri: r.RequestURI, service: s.machine.service, server: s.instance, at: time.Now()}
	s.mu.Lock()
	s.executions = append(s.executions, run)
	s.mu.Unlock()
	s.world.note("server %s (%s) runs %s: %s %s", s.instance, run.service, id, run.method, run.uri)
	return run
}

func (s *server) end(run *execution, how string) {
	s.mu.Lock()
	run.ended = how
	s.mu.Unlock()
	s.world.note("server %s ends %s: %s", s.instance, run.id, how)
}

// runs returns all runs of all servers, by the id of the attempt.
func (w *world) runs() map[string][]execution {
	all := make(map[string][]execution)
	for _, s := range w.servers {
		s.mu.Lock()
		for _, run := range s.executions {
			all[run.id] = append(all[run.id], *run)
		}
		s.mu.Unlock()
	}
	return all
}

// heldHeartbeat is a link that holds up one heartbeat on its way to a node.
type heldHeartbeat struct {
	address  string
	listener net.Listener
	released chan struct{}
	status   chan int
	group    sync.WaitGroup
}

// holdUp returns a link to the node on m that holds up the first heartbeat until it is released.
func (w *world) holdUp(m *machine) (*heldHeartbeat, error) {
	listener, err := net.Listen("tcp", m.at("0"))
	if err != nil {
		return nil, err
	}
	h := &heldHeartbeat{address: listener.Addr().String(), listener: listener, released: make(chan struct{}), status: make(chan int, 1)}
	h.group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		<-h.released
		got, _ := exchange(request.Method, "http://"+m.at(portControl)+request.RequestURI, body, map[string]string{"Content-Type": "application/json"})
		h.status <- got.status
	})
	return h, nil
}

// release lets the heartbeat go on and returns the status of its answer, which nobody waits for any more.
func (h *heldHeartbeat) release() int {
	close(h.released)
	select {
	case status := <-h.status:
		return status
	case <-time.After(2 * time.Second):
		return 0
	}
}

func (h *heldHeartbeat) close() {
	_ = h.listener.Close()
	h.group.Wait()
}
