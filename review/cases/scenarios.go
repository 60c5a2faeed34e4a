package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host      = "ficu95.example"
	clientKey = "3fexd9dnn2ctnfzs989a"
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout float64) map[string]any {
	return map[string]any{
		"name": name, "path_prefix": prefix, "route_type": kind, "timeout_s": timeout, "target_latency_s": 0.6, "priority": 1,
		"service": service, "attempts": 2, "anonymous_allowed": false,
	}
}

// hosts returns the part of the configuration that holds routes.
func hosts(routes ...map[string]any) []any {
	return []any{map[string]any{"host": host, "paths": routes}}
}

// configuration returns a whole configuration with two services and one tenant.
func configuration(version int, routes ...map[string]any) map[string]any {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": healthPath, "max_connections": 390, "protocol": "h1", "tls_enabled": false}
	}
	return map[string]any{
		"version": version, "services": []any{service("bookings"), service("catalogue")},
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":       []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}, "priority": 1, "rate_per_s": 200, "burst_size": 200}},
		"virtual_hosts": hosts(routes...),
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends one client attempt through the node on m and returns its id and its answer.
func (w *world) request(m *machine, method, path string, body []byte, deadline time.Duration) (string, reply) {
	id := newID()
	return id, w.send(m, id, method, path, body, deadline)
}

// send sends the client attempt with the given id through the node on m and returns its answer.
func (w *world) send(m *machine, id, method, path string, body []byte, deadline time.Duration) reply {
	w.note("client at %s sends %s: %s %s", m.name, id, method, path)
	got, err := exchange(method, "http://"+m.at(portOutbound)+path, body, map[string]string{
		"Host": host, "Attempt-Id": id, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Authorization": "Bearer " + clientKey,
	})
	if err != nil {
		w.note("client: %s gets no whole answer: %v", id, err)
		return reply{}
	}
	w.note("client: %s gets %d, signature %q", id, got.status, got.stamp)
	return got
}

// warm sends idempotent requests until one was served, so that paths and connections exist.
func (w *world) warm(path string) error {
	for _, m := range w.nodes {
		for try := 0; ; try++ {
			if _, got := w.request(m, http.MethodGet, path, nil, 2*time.Second); got.status == http.StatusOK {
				break
			}
			if try > 40 {
				return fmt.Errorf("no request of %s is served", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// twiceByKind has an unsafe route and a safe one whose prefix is the path of an unsafe request and a slash. For 4 s, half of
// the servers of bookings lose the answers to 0.06 of the requests that they ran.
func twiceByKind(w *world, trouble bool) (int, error) {
	err := w.build(configuration(3,
		route("r-book", "/pufi791/", "unsafe", "bookings", 2),
		route("r-view", "/pufi791/slots/", "safe", "bookings", 2),
	), "bookings", "bookings", "bookings", "bookings", "catalogue", "catalogue")
	if err != nil {
		return 0, err
	}
	if err := w.warm("/pufi791/slots/1"); err != nil {
		return 0, err
	}
	for _, s := range w.servers[:2] {
		var mu sync.Mutex
		ran := 0
		s.losesAnswer = func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			ran++
			return trouble && ran%17 == 0
		}
	}
	var group sync.WaitGroup
	var ids []string
	for i := range 200 {
		id := newID()
		ids = append(ids, id)
		group.Go(func() {
			w.send(w.nodes[i%len(w.nodes)], id, http.MethodPost, "/pufi791/slots", []byte("slot=12"), 2*time.Second)
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	breaks := 0
	runs := w.runs()
	for _, id := range ids {
		if len(runs[id]) > 1 {
			w.note("TWICE: %s of the unsafe route /pufi791/ ran %d times, on %s and %s", id, len(runs[id]), runs[id][0].server, runs[id][1].server)
			breaks++
		}
	}
	return breaks, nil
}

// routeByPrefix adds a route whose prefix is the path of a request and a slash. It sends the requests of that prefix to
// another service.
func routeByPrefix(w *world, trouble bool) (int, error) {
	err := w.build(configuration(3, route("r-book", "/pufi791/", "unsafe", "bookings", 2)),
		"bookings", "bookings", "catalogue", "catalogue")
	if err != nil {
		return 0, err
	}
	if err := w.warm("/pufi791/1"); err != nil {
		return 0, err
	}
	if trouble {
		err = w.operate(http.MethodPatch, 3, map[string]any{
			"version": 7, "upsert": map[string]any{"virtual_hosts": hosts(route("r-new", "/pufi791/slots/", "safe", "catalogue", 2))},
		})
		if err != nil {
			return 0, err
		}
	}
	time.Sleep(configApply + 500*time.Millisecond)
	var ids []string
	for i := range 40 {
		id, _ := w.request(w.nodes[i%len(w.nodes)], http.MethodPost, "/pufi791/slots", []byte("slot=12"), 2*time.Second)
		ids = append(ids, id)
		time.Sleep(20 * time.Millisecond)
	}
	breaks := 0
	runs := w.runs()
	for _, id := range ids {
		for _, run := range runs[id] {
			if run.service != "bookings" {
				w.note("ROUTE: %s for /pufi791/slots was run by %s of %s; /pufi791/ of bookings is the only prefix that begins the path", id, run.server, run.service)
				breaks++
			}
		}
	}
	return breaks, nil
}

// sendSlowly sends a request whose body arrives over the given time, and returns its answer.
func (w *world) sendSlowly(m *machine, id, path string, body []byte, over, deadline time.Duration) (reply, error) {
	conn, err := net.Dial("tcp", m.at(portOutbound))
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	w.note("client at %s sends %s: POST %s, with a body of %d bytes over %v", m.name, id, path, len(body), over)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		path, host, id, deadline.Milliseconds(), clientKey, len(body))
	const parts = 20
	for i := 0; i < parts && err == nil; i++ {
		time.Sleep(over / parts)
		_, err = conn.Write(body[len(body)*i/parts : len(body)*(i+1)/parts])
	}
	if err != nil {
		return reply{}, err
	}
	w.note("client: the body of %s is sent", id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("client: %s gets no answer: %v", id, err)
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	w.note("client: %s gets %d, signature %q", id, response.StatusCode, response.Header.Get("Instance-Stamp"))
	return reply{m.address, response.StatusCode, response.Header.Get("Instance-Stamp"), content.String()}, err
}

// drainBySlowBody empties one of seven servers while clients on slow links send bodies that take some seconds to arrive.
func drainBySlowBody(w *world, trouble bool) (int, error) {
	err := w.build(configuration(3, route("r-book", "/pufi791/", "unsafe", "bookings", 6), route("r-view", "/lohu930/", "safe", "bookings", 2)),
		"bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "catalogue")
	if err != nil {
		return 0, err
	}
	if err := w.warm("/lohu930/1"); err != nil {
		return 0, err
	}
	for _, s := range w.servers {
		s.work = 1500 * time.Millisecond
	}
	leaving := w.servers[0]
	var group sync.WaitGroup
	var ids []string
	for i := range 42 {
		id := newID()
		ids = append(ids, id)
		group.Go(func() {
			_, _ = w.sendSlowly(w.nodes[i%len(w.nodes)], id, "/pufi791/12", []byte(strings.Repeat("x", 1000)), 3800*time.Millisecond, 6*time.Second)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var acknowledged time.Time
	if trouble {
		at, ok := leaving.announce("draining")
		if !ok {
			return 0, errors.New("draining was not acknowledged")
		}
		acknowledged = at
		group.Go(func() {
			time.Sleep(drainBound + 1200*time.Millisecond)
			_, _ = leaving.leave()
			w.note("server %s exits", leaving.instance)
			leaving.stop()
		})
	}
	group.Wait()
	breaks := 0
	runs := w.runs()
	for _, id := range ids {
		for _, run := range runs[id] {
			if run.server == leaving.instance && trouble && run.at.Sub(acknowledged) > drainBound {
				w.note("DRAIN: %s reached %s %.2f s after the acknowledgement; its run ended: %s", id, run.server, run.at.Sub(acknowledged).Seconds(), run.ended)
				breaks++
			}
		}
	}
	return breaks, nil
}

// drainAfterRestart has a server leave with a DELETE that is acknowledged. The node beside it is killed and starts again,
// and then a heartbeat from before the DELETE arrives, which was held up on its way.
func drainAfterRestart(w *world, trouble bool) (int, error) {
	err := w.build(configuration(3, route("r-book", "/pufi791/", "unsafe", "bookings", 2), route("r-view", "/lohu930/", "safe", "bookings", 2)),
		"bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "catalogue")
	if err != nil {
		return 0, err
	}
	if err := w.warm("/lohu930/1"); err != nil {
		return 0, err
	}
	leaving := w.servers[0]
	node := leaving.machine
	held, err := w.holdUp(node)
	if err != nil {
		return 0, err
	}
	defer held.close()
	w.note("server %s sends a heartbeat that is held up; acknowledged: %v", leaving.instance, leaving.sendTo(held.address, http.MethodPut, leaving.heartbeat()))
	acknowledged, ok := leaving.leave()
	if !ok {
		return 0, errors.New("DELETE was not acknowledged")
	}
	if trouble {
		w.note("kill %s", node.name)
		w.kill(node)
		time.Sleep(500 * time.Millisecond)
		if err := w.start(node, false); err != nil {
			return 0, err
		}
		if err := w.awaitReady(node); err != nil {
			return 0, err
		}
	}
	time.Sleep(stabilityWindow + 300*time.Millisecond)
	status := held.release()
	w.note("the heartbeat that was held up arrives, %.2f s after the DELETE, and gets %d", time.Since(acknowledged).Seconds(), status)
	time.Sleep(500 * time.Millisecond)
	for i := range 100 {
		_, _ = w.request(w.nodes[1+i%7], http.MethodPost, "/pufi791/12", []byte("slot=12"), 2*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	w.note("server %s exits", leaving.instance)
	leaving.stop()
	breaks := 0
	for id, runs := range w.runs() {
		for _, run := range runs {
			if run.server == leaving.instance && run.at.Sub(acknowledged) > drainBound {
				w.note("DRAIN: %s reached %s %.2f s after the acknowledgement of its DELETE", id, run.server, run.at.Sub(acknowledged).Seconds())
				breaks++
			}
		}
	}
	return breaks, nil
}
