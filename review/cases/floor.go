package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// attempt is a client attempt of floorAfterStops with its result.
type attempt struct {
	at     time.Time
	served bool
}

const (
	// floorUntil is the time since the start of the run at which the clients stop.
	floorUntil = 111 * time.Second
	// floorJoin is the time between the start of the clients and that of the servers that are added.
	floorJoin = 30 * time.Second
	// floorPhase is how long the clients keep one of floorRates.
	floorPhase = 4 * time.Second
	// floorWindow is the span of the rule.
	floorWindow = 2 * time.Second
)

// floorRates are the requests a second, in turn. Each of the six servers can serve 25 a second.
var floorRates = []int{40, 60, 80, 100}

// floorAfterStops stops one control process and starts it again. Later two servers are added, with or without trouble.
func floorAfterStops(w *world, trouble bool) (int, error) {
	w.zones = []string{"akl-a", "akl-b", "chc-a"}
	err := w.build(configuration(3, route("r-book", "/pufi791/", "unsafe", "bookings", 2), route("r-view", "/lohu930/", "safe", "bookings", 2)),
		"bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "catalogue", "catalogue")
	if err != nil {
		return 0, err
	}
	if err := w.warm("/lohu930/1"); err != nil {
		return 0, err
	}
	for _, s := range w.servers {
		s.work = floorWork
	}
	if trouble {
		if err := w.restart(w.cores[0]); err != nil {
			return 0, err
		}
	}
	time.Sleep(2*stabilityWindow + time.Second)
	w.note("the core is stable, and nothing is done to any machine from now on")
	began := time.Now()
	var joined sync.WaitGroup
	var joinErr error
	joined.Go(func() {
		time.Sleep(floorJoin)
		for range 2 {
			if joinErr = w.join("bookings"); joinErr != nil {
				return
			}
			time.Sleep(2 * time.Second)
		}
	})
	var mu sync.Mutex
	var attempts []attempt
	var group sync.WaitGroup
	entries := w.nodes
	for i := 0; time.Since(w.started) < floorUntil; i++ {
		group.Go(func() {
			at := time.Now()
			_, got := w.request(entries[i%len(entries)], http.MethodPost, "/pufi791/12", []byte("slot=12"), 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, attempt{at, got.status == http.StatusOK})
		})
		rate := floorRates[int(time.Since(began)/floorPhase)%len(floorRates)]
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
	joined.Wait()
	if joinErr != nil {
		return 0, joinErr
	}
	return w.floorBreaks(attempts), nil
}

// floorWork is how long a request runs.
const floorWork = 200 * time.Millisecond

// join adds a machine with a server of service.
func (w *world) join(service string) error {
	i := len(w.nodes)
	m := &machine{
		name: fmt.Sprint("sidecar-", i+1), role: "node", address: fmt.Sprintf("%s.%d", w.network, i+11), zone: w.zones[i%len(w.zones)], service: service,
	}
	w.nodes = append(w.nodes, m)
	if err := w.start(m, false); err != nil {
		return err
	}
	s, err := w.startServer(m)
	if err != nil {
		return err
	}
	s.work = floorWork
	s.beat()
	return w.awaitReady(m)
}

// floorBreaks returns the number of windows, taken one after the other without overlap, in which some of the sound servers of
// bookings, but less than floorFraction of them, got requests, while more than a tenth and less than half of the requests were
// not served.
func (w *world) floorBreaks(attempts []attempt) int {
	var runs []execution
	for _, of := range w.runs() {
		runs = append(runs, of...)
	}
	breaks := 0
	first, last := attempts[0].at, attempts[0].at
	for _, a := range attempts {
		if a.at.Before(first) {
			first = a.at
		}
		if a.at.After(last) {
			last = a.at
		}
	}
	for begin := first; begin.Add(floorWindow).Before(last); begin = begin.Add(floorWindow) {
		within := func(at time.Time) bool { return !at.Before(begin) && at.Before(begin.Add(floorWindow)) }
		servers := 0
		for _, s := range w.servers {
			if s.machine.service == "bookings" && begin.Sub(time.UnixMilli(s.born)) > 2*stabilityWindow {
				servers++
			}
		}
		used := make(map[string]bool)
		for _, run := range runs {
			if within(run.at) {
				used[run.server] = true
			}
		}
		sent, unserved := 0, 0
		for _, a := range attempts {
			if within(a.at) {
				sent++
				if !a.served {
					unserved++
				}
			}
		}
		broken := len(used) > 0 && float64(len(used)) < floorFraction*float64(servers) && 10*unserved > sent && 2*unserved < sent
		verdict := ""
		if broken {
			verdict = "  FLOOR"
			breaks++
		}
		w.note("from %.1f s: %d of %d servers got requests, %d of %d requests were not served%s",
			begin.Sub(w.started).Seconds(), len(used), servers, unserved, sent, verdict)
	}
	return breaks
}
