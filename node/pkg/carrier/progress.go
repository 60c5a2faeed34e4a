package carrier

import (
	"sync"
	"time"
)

const (
	// progressPeriod is how often a gate tells that a request is still with it.
	progressPeriod = 300 * time.Millisecond
	// silenceLimit is how long an entry waits for any frame of a gate.
	silenceLimit = 4 * progressPeriod
)

// progress repeats a report until it is stopped. Requests that end within a period cost no report.
type progress struct {
	report func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newProgress(report func()) *progress {
	p := &progress{report: report}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(progressPeriod, p.beat)
	return p
}

func (p *progress) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.report()
	p.timer.Reset(progressPeriod)
}

// stop returns once no report is being sent and none will be.
func (p *progress) stop() {
	p.timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
