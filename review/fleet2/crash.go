package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// crashContent is the body of the request that crashes servers.
const crashContent = "crash this server"

// crashTest is a request that crashes each server that begins to run it. chunked sends its body in chunks, and begun has the server
// send a part of its answer before it crashes.
type crashTest struct {
	chunked, begun bool
}

func runCrashChunked(f *fleet, trouble bool) (bool, error) {
	return crashTest{chunked: true}.run(f, trouble)
}

func runCrashBegun(f *fleet, trouble bool) (bool, error) {
	return crashTest{begun: true}.run(f, trouble)
}

// run sends the same request, by path, caller and body, at one node after another. The rule is broken if it reaches servers more
// than three times later than the stability window after it has crashed the third of them.
func (t crashTest) run(f *fleet, trouble bool) (bool, error) {
	const retries, period = 24, 1500 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	handle := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		if string(body) != crashContent {
			serveAll(s, w, r, body)
			return
		}
		f.record.write("server %s begins to run the request, %s", s.instance, r.Header.Get("Attempt-Id"))
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		if !trouble {
			pause(r.Context(), s.work)
			_, _ = io.WriteString(w, wholeBody(r.Header.Get("Attempt-Id")))
			return
		}
		if t.begun {
			w.Header().Set("Content-Length", "4000")
			_, _ = w.Write(make([]byte, 1000))
			_ = http.NewResponseController(w).Flush()
		}
		pause(r.Context(), s.work)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		f.record.write("server %s crashes", s.instance)
		s.crash()
		group.Go(func() {
			pause(ctx, 2*time.Second)
			if ctx.Err() == nil {
				_ = s.start()
			}
		})
		panic(http.ErrAbortHandler)
	}
	if _, err := prepare(ctx, f, &group, 6, handle); err != nil {
		return false, err
	}
	for i := range retries {
		node := f.nodes[i%len(f.nodes)]
		r := request{
			method: http.MethodPost, path: "/book0/7", id: fmt.Sprintf("c%015d", i), key: key, deadline: 2 * time.Second, body: crashContent,
			chunked: t.chunked,
		}
		f.record.write("client sends %s to %s", r.id, node.name)
		f.record.write("client gets for %s: %s", r.id, send(node, r))
		pause(ctx, period)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, arrival := range arrivals {
		if len(crashes) >= 3 && arrival.Sub(crashes[2]) > stability {
			late++
		}
	}
	f.record.write("%d arrivals at servers, %d crashes; %d arrivals later than %s after the third crash", len(arrivals), len(crashes), late, stability)
	return late > 3, nil
}
