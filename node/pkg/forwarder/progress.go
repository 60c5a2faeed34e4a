package forwarder

import (
	"sync"
	"time"
)

const (
	// progressInterval is the interval at which a gate reports that it still has a request.
	progressInterval = 300 * time.Millisecond
	// idleTimeout is how long an entry waits for the next frame from a gate.
	idleTimeout = 4 * progressInterval
)

// progressTicker calls report every progressInterval until it is stopped. A request that ends within the first
// interval causes no call.
type progressTicker struct {
	report func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newProgressTicker(report func()) *progressTicker {
	p := &progressTicker{report: report}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(progressInterval, p.tick)
	return p
}

func (p *progressTicker) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.report()
	p.timer.Reset(progressInterval)
}

// stop waits for a report in progress and prevents further ones.
func (p *progressTicker) stop() {
	p.timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
