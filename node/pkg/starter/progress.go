package starter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/ticker"
)

// stepLogInterval is the interval at which a step of the stop logs what it still waits for.
const stepLogInterval = time.Second

// logStep runs one step of the stop. It logs when the step begins and ends, and what is in progress then.
func (n *Node) logStep(name string, step func() error) error {
	log, began := n.log.Part("node"), time.Now()
	attributes := func() []any {
		now := time.Now()
		callers, gate, tasks := n.callers.Active(now), n.forwarder.Active(now), n.tasks.Active(now)
		opened, active, idle := n.connections.count()
		return []any{
			"step", name, "waited", now.Sub(began).Round(time.Millisecond), "callers", callers.Number, "oldest", callers,
			"opened", opened, "active", active, "idle", idle, "gate", gate.Number, "gate_oldest", gate, "tasks", tasks.Number, "first", tasks,
		}
	}
	log.Info("stop step begins", attributes()...)
	ctx, end := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		ticker.Every(ctx, stepLogInterval, func(time.Time) { log.Info("stop step waits", attributes()...) })
		return nil
	})
	err := step()
	end()
	_ = group.Wait()
	if err != nil {
		log.Warn("stop step ended", append(attributes(), "error", err)...)
		return err
	}
	log.Info("stop step ended", attributes()...)
	return nil
}

// runTask runs task and counts it until it ends.
func (n *Node) runTask(ctx context.Context, name string, task func(context.Context) error) error {
	defer n.tasks.Begin(time.Now(), name).End()
	return task(ctx)
}

// connectionStates holds the state of each caller's connection.
type connectionStates struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	ended  chan struct{}
}

func newConnectionStates() *connectionStates {
	return &connectionStates{states: make(map[net.Conn]http.ConnState), ended: make(chan struct{}, 1)}
}

// set is an http.Server.ConnState.
func (s *connectionStates) set(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		s.states[conn] = state
	case http.StateClosed, http.StateHijacked:
		delete(s.states, conn)
	}
	if state != http.StateNew && state != http.StateActive {
		select {
		case s.ended <- struct{}{}:
		default:
		}
	}
}

// awaitInactive waits until no request is in progress on any connection, or until end.
func (s *connectionStates) awaitInactive(end time.Time) {
	timeout := time.After(time.Until(end))
	for {
		if _, active, _ := s.count(); active == 0 {
			return
		}
		select {
		case <-s.ended:
		case <-timeout:
			return
		}
	}
}

// count returns the numbers of connections on which no request has begun, on which one is in progress, and on which the
// last one has ended.
func (s *connectionStates) count() (opened, active, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		switch state {
		case http.StateNew:
			opened++
		case http.StateActive:
			active++
		case http.StateIdle, http.StateClosed, http.StateHijacked:
			idle++
		}
	}
	return opened, active, idle
}
