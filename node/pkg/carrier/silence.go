package carrier

import (
	"sync"
	"time"
)

// silence calls expire when nothing was heard for its limit. It counts only between start and stop.
type silence struct {
	expire func()

	mu    sync.Mutex
	limit time.Duration
	on    bool
	timer *time.Timer
}

func newSilence(limit time.Duration, expire func()) *silence {
	return &silence{expire: expire, limit: limit}
}

// start begins to count from now.
func (s *silence) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = true
	s.count()
}

// allow changes the limit, and counts from now if it was counting.
func (s *silence) allow(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.count()
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = false
	if s.timer != nil {
		s.timer.Stop()
	}
}

// count is called with the lock held.
func (s *silence) count() {
	switch {
	case !s.on:
	case s.timer == nil:
		s.timer = time.AfterFunc(s.limit, s.end)
	default:
		s.timer.Reset(s.limit)
	}
}

func (s *silence) end() {
	s.mu.Lock()
	on := s.on
	s.mu.Unlock()
	if on {
		s.expire()
	}
}
