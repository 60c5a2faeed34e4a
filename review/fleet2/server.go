package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for the application server on the machine of a node.
type server struct {
	fleet   *fleet
	machine *machine
	slots   chan struct{}
	work    time.Duration
	// handle is called for each request that the server begins to run, and writes its answer.
	handle func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	instance string
	born     int64
	sequence uint64
	state    string
	up       bool
	http     *http.Server
	group    sync.WaitGroup
}

var stamps, starts atomic.Int64

func newServer(f *fleet, m *machine, slots int, work time.Duration, handle func(*server, http.ResponseWriter, *http.Request, []byte)) *server {
	return &server{fleet: f, machine: m, slots: make(chan struct{}, slots), work: work, handle: handle}
}

// start starts the server as a new incarnation.
func (s *server) start() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", s.machine.address(portApp)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance, s.born, s.sequence, s.state, s.up = fmt.Sprintf("i-%08x", starts.Add(1)), time.Now().UnixMilli(), 0, "ready", true
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	running := s.http
	s.group.Go(func() { _ = running.Serve(listener) })
	s.fleet.record.write("server %s of %s starts on %s", s.instance, s.machine.service, s.machine.name)
	return nil
}

// crash ends the server and all its connections at once.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	_ = s.http.Close()
}

// serve runs one request, or states that it did not run it.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	instance, born := s.instance, s.born
	s.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", instance)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != instance {
		w.Header().Set("Instance-Id", instance)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	case <-time.After(time.Second):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Instance-Stamp", fmt.Sprintf("%s.%x.%d", instance, born, stamps.Add(1)))
	s.handle(s, w, r, body)
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return false
	}
	s.sequence++
	id, body := s.instance, s.heartbeat(s.state, s.sequence)
	s.mu.Unlock()
	return s.call(http.MethodPut, id, body)
}

// heartbeat returns the body of a heartbeat. The caller holds mu.
func (s *server) heartbeat(state string, sequence uint64) []byte {
	body, _ := json.Marshal(map[string]any{
		"address": s.machine.address(portApp), "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": state, "sequence_number": sequence, "cold_remaining_s": 0},
	})
	return body
}

// call sends a call about the instance id to the node of the machine.
func (s *server) call(method, id string, body []byte) bool {
	request, err := http.NewRequest(method, "http://"+s.machine.address(portControl)+"/samphiremount/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		s.fleet.record.write("%s of instance %s: %s", method, id, strconv.Itoa(response.StatusCode))
	}
	return response.StatusCode/100 == 2
}

// beats sends heartbeats until ctx ends.
func (s *server) beats(ctx context.Context) {
	for ctx.Err() == nil {
		if s.beat() {
			pause(ctx, heartbeatPeriod)
		} else {
			pause(ctx, 200*time.Millisecond)
		}
	}
}
