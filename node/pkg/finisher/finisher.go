// Package finisher lets the requests in progress finish while a node stops, and breaks off those that take too long.
package finisher

import (
	"sync"
	"time"

	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/counter"
)

// Finisher holds the requests in progress. It is safe for concurrent use.
type Finisher struct {
	counter *counter.Counter

	mu       sync.Mutex
	requests map[*Request]struct{}
	ended    chan struct{}
}

// New returns a Finisher without requests.
func New() *Finisher {
	return &Finisher{counter: counter.New(), requests: make(map[*Request]struct{}), ended: make(chan struct{}, 1)}
}

// Request is a request in progress.
type Request struct {
	*counter.Entry

	finisher  *Finisher
	breakOff  func()
	answering bool
	broken    bool
}

// Begin adds a request. The function breakOff ends it early; it must not block, and it is called once at most.
func (f *Finisher) Begin(now time.Time, id string, breakOff func()) *Request {
	request := &Request{Entry: f.counter.Begin(now, id), finisher: f, breakOff: breakOff}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[request] = struct{}{}
	return request
}

// Answer records that the answer of the request begins.
func (r *Request) Answer() {
	r.finisher.mu.Lock()
	defer r.finisher.mu.Unlock()
	r.answering = true
}

// End removes the request.
func (r *Request) End() {
	r.Entry.End()
	r.finisher.mu.Lock()
	delete(r.finisher.requests, r)
	r.finisher.mu.Unlock()
	select {
	case r.finisher.ended <- struct{}{}:
	default:
	}
}

// Contains reports whether the request with that id is in progress.
func (f *Finisher) Contains(id string) bool { return f.counter.Contains(id) }

// Active returns the requests in progress at now.
func (f *Finisher) Active(now time.Time) counter.Active { return f.counter.Active(now) }

// Finish waits until no request is in progress, but not longer than until plan closes the connections. It breaks off the
// requests that go on for longer than plan lets them, and returns their number.
func (f *Finisher) Finish(plan stopper.Plan) (brokenOff int) {
	for {
		broken, wakeAt, active := f.decide(time.Now(), plan)
		brokenOff += broken
		if !active || !time.Now().Before(plan.CloseAt) {
			return brokenOff
		}
		select {
		case <-f.ended:
		case <-time.After(time.Until(wakeAt)):
		}
	}
}

// decide breaks off requests as plan says. It returns their number, the time of the next decision and whether any
// request is in progress.
func (f *Finisher) decide(now time.Time, plan stopper.Plan) (brokenOff int, wakeAt time.Time, active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wakeAt = plan.CloseAt
	for request := range f.requests {
		if request.broken {
			continue
		}
		var state stopper.Request = stopper.Running{}
		if request.answering {
			state = stopper.Answering{}
		}
		switch action := plan.Decide(now, state).(type) {
		case stopper.BreakOff:
			request.broken = true
			request.breakOff()
			brokenOff++
		case stopper.Wait:
			if action.Until.Before(wakeAt) {
				wakeAt = action.Until
			}
		case stopper.Serve, stopper.Refuse:
		}
	}
	return brokenOff, wakeAt, len(f.requests) > 0
}
