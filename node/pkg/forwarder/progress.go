package forwarder

import (
	"sync"
	"time"
)

const (
	// progressInterval is how often a gate tells that a request is still with it.
	progressInterval = 300 * time.Millisecond
	// idleTimeout is how long an entry waits for any frame of a gate.
	idleTimeout = 4 * progressInterval
)

// progressTicker repeats a report until it is stopped. Requests that end within a period cost no report.
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

// stop returns once no report is being sent and none will be.
func (p *progressTicker) stop() {
	p.timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
