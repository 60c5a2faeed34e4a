package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// ledger holds the requests that clients have sent and compares them with those that servers run.
type ledger struct {
	fleet *fleet

	mu     sync.Mutex
	sent   map[string]string
	broken int
}

func newLedger(f *fleet) *ledger { return &ledger{fleet: f, sent: make(map[string]string)} }

// add records that a client sends r, whose key belongs to the tenant.
func (l *ledger) add(r request, tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[r.id] = r.method + " " + r.path + " for " + tenant
	l.fleet.record.write("client sends %s: %s", r.id, l.sent[r.id])
}

// handle answers a request after it has noted the run.
func (l *ledger) handle(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
	l.note(s, r)
	serveAll(s, w, r, body)
}

// note compares what a server begins to run with what was sent.
func (l *ledger) note(s *server, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	ran := r.Method + " " + r.RequestURI + " for " + r.Header.Get("Tenant")
	l.mu.Lock()
	sent, ok := l.sent[id]
	if !ok || sent != ran {
		l.broken++
	}
	l.mu.Unlock()
	switch {
	case !ok:
		l.fleet.record.write("server %s runs %s, which no client has sent: %s", s.instance, id, ran)
	case sent != ran:
		l.fleet.record.write("server %s runs %s changed: %s", s.instance, id, ran)
	default:
		l.fleet.record.write("server %s runs %s: %s", s.instance, id, ran)
	}
}

// result reports whether a server ran what no client had sent.
func (l *ledger) result() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.record.write("%d requests ran that no client had sent, or changed", l.broken)
	return l.broken > 0
}

// runSmuggled sends requests whose bodies, in chunks, hold the text of another request. Without the trouble, their method is POST.
func runSmuggled(f *fleet, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	l := newLedger(f)
	if _, err := prepare(ctx, f, &group, 3, l.handle); err != nil {
		return false, err
	}
	method := http.MethodPost
	if trouble {
		method = http.MethodConnect
	}
	for i := range 9 {
		inner := fmt.Sprintf("POST /book0/pay HTTP/1.1\r\nHost: %s\r\nAttempt-Id: inner%d\r\nTenant: %s\r\nCaller-Service: bookings\r\n"+
			"Content-Length: 0\r\n\r\n", host, i, otherTenant)
		r := request{
			method: method, path: "/book0/7", id: fmt.Sprintf("s%015d", i), key: key, deadline: 2 * time.Second, body: inner, chunked: true,
		}
		l.add(r, tenant)
		f.record.write("client gets for %s: %s", r.id, send(f.nodes[i%len(f.nodes)], r))
		pause(ctx, 300*time.Millisecond)
	}
	return l.result(), nil
}

// runPath sends bookings whose paths hold an encoded slash and, with the trouble, a byte that is not encoded though RFC 3986 wants
// it to be. Each server fails the first run of a booking with a status of its own, which says that it ran.
func runPath(f *fleet, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	l := newLedger(f)
	var mu sync.Mutex
	runs := make(map[string]int)
	handle := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		runs[id]++
		number := runs[id]
		mu.Unlock()
		if number == 1 {
			l.note(s, r)
			pause(r.Context(), s.work)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		f.record.write("server %s runs %s for the time number %d", s.instance, id, number)
		l.handle(s, w, r, body)
	}
	if _, err := prepare(ctx, f, &group, 3, handle); err != nil {
		return false, err
	}
	for i := range 9 {
		path := []string{"/book0/view%2F7|a", "/book0/view%2Fcaf\xc3\xa9", "/book0/room|7"}[i%3]
		if !trouble {
			path = []string{"/book0/view%2F7%7Ca", "/book0/view%2Fcaf%C3%A9", "/book0/room%7C7"}[i%3]
		}
		r := request{method: http.MethodPost, path: path, id: fmt.Sprintf("p%015d", i), key: key, deadline: 2 * time.Second, body: "x"}
		l.add(r, tenant)
		f.record.write("client gets for %s: %s", r.id, send(f.nodes[i%len(f.nodes)], r))
		pause(ctx, 300*time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, number := range runs {
		if number > 1 {
			twice++
		}
	}
	f.record.write("%d bookings ran more than once", twice)
	return l.result() || twice > 0, nil
}
