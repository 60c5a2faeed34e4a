package forwarder

import (
	"sync"
	"time"
)

// idleTimer calls expire when no frame arrived for its timeout. It runs only between start and stop.
type idleTimer struct {
	expire func()

	mu      sync.Mutex
	timeout time.Duration
	running bool
	timer   *time.Timer
}

func newIdleTimer(timeout time.Duration, expire func()) *idleTimer {
	return &idleTimer{expire: expire, timeout: timeout}
}

// start starts the timer, or restarts it if it runs.
func (t *idleTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = true
	t.restart()
}

// setTimeout changes the timeout, and restarts the timer if it runs.
func (t *idleTimer) setTimeout(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = timeout
	t.restart()
}

// current returns the timeout in force.
func (t *idleTimer) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeout
}

func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	if t.timer != nil {
		t.timer.Stop()
	}
}

// restart must be called with mu held.
func (t *idleTimer) restart() {
	switch {
	case !t.running:
	case t.timer == nil:
		t.timer = time.AfterFunc(t.timeout, t.fire)
	default:
		t.timer.Reset(t.timeout)
	}
}

func (t *idleTimer) fire() {
	t.mu.Lock()
	running := t.running
	t.mu.Unlock()
	if running {
		t.expire()
	}
}
