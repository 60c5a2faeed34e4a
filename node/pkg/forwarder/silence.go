package forwarder

import (
	"sync"
	"time"
)

// idleTimer calls expire when nothing was heard for its limit. It counts only between start and stop.
type idleTimer struct {
	expire func()

	mu      sync.Mutex
	timeout time.Duration
	running bool
	timer   *time.Timer
}

func newIdleTimer(limit time.Duration, expire func()) *idleTimer {
	return &idleTimer{expire: expire, timeout: limit}
}

// start begins to count from now.
func (s *idleTimer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = true
	s.restart()
}

// setTimeout changes the limit, and counts from now if it was counting.
func (s *idleTimer) setTimeout(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeout = limit
	s.restart()
}

func (s *idleTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
	if s.timer != nil {
		s.timer.Stop()
	}
}

// restart is called with the lock held.
func (s *idleTimer) restart() {
	switch {
	case !s.running:
	case s.timer == nil:
		s.timer = time.AfterFunc(s.timeout, s.fire)
	default:
		s.timer.Reset(s.timeout)
	}
}

func (s *idleTimer) fire() {
	s.mu.Lock()
	on := s.running
	s.mu.Unlock()
	if on {
		s.expire()
	}
}
