package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The quota of the tenant, and the rule's bound for it in each window.
const (
	quotaRate   = 10
	quotaBurst  = 200
	quotaWindow = 5 * time.Second
	quotaBound  = (quotaRate*5+quotaBurst)*1.1 + 20
)

// mostWithin returns the greatest number of times that lie within one window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// runQuota has a tenant use up its burst twice within one window. In between, with the trouble, one configuration leaves the tenant out,
// and the next one has it again as it was.
func runQuota(f *fleet, trouble bool) (bool, error) {
	const clients, each, span = 24, 20, 900 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var mu sync.Mutex
	var runs []time.Time
	handle := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		f.record.write("server %s runs %s for %s", s.instance, r.Header.Get("Attempt-Id"), r.Header.Get("Tenant"))
		if r.Header.Get("Tenant") == tenant {
			mu.Lock()
			runs = append(runs, time.Now())
			mu.Unlock()
		}
		serveAll(s, w, r, body)
	}
	if _, err := prepare(ctx, f, &group, 6, handle); err != nil {
		return false, err
	}
	limited := func(version int) map[string]any {
		body := configuration(version, "bookings")
		body["tenants"].([]any)[0].(map[string]any)["rate_per_s"] = quotaRate
		body["tenants"].([]any)[0].(map[string]any)["burst_size"] = quotaBurst
		return body
	}
	put := func(match int, body map[string]any) error {
		status, err := f.order(http.MethodPut, match, body, 5*time.Second)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("%w: a configuration got %d", errCannotRun, status)
		}
		return err
	}
	if err := put(5, limited(7)); err != nil {
		return false, err
	}
	// The limit binds one window after all machines have been in touch past its acknowledgement.
	pause(ctx, 3*quotaWindow)
	flood := func(name string) {
		var sending sync.WaitGroup
		for client := range clients {
			sending.Go(func() {
				for i, end := 0, time.Now().Add(span); i < each && time.Now().Before(end); i++ {
					r := request{
						method: http.MethodGet, path: "/view0/7", id: fmt.Sprintf("%s-%d-%d", name, client, i), key: key, deadline: time.Second,
					}
					got := send(f.nodes[client%len(f.nodes)], r)
					f.record.write("client gets for %s: %s", r.id, got)
				}
			})
		}
		sending.Wait()
	}
	flood("first")
	if trouble {
		without := limited(9)
		without["tenants"] = without["tenants"].([]any)[1:]
		if err := put(7, without); err != nil {
			return false, err
		}
	}
	pause(ctx, 2400*time.Millisecond)
	if trouble {
		if err := put(9, limited(11)); err != nil {
			return false, err
		}
	}
	pause(ctx, 300*time.Millisecond)
	flood("again")
	mu.Lock()
	defer mu.Unlock()
	most := mostWithin(runs, quotaWindow)
	f.record.write("%d requests of %s ran, at most %d within %s; the rule allows %.0f", len(runs), tenant, most, quotaWindow, quotaBound)
	return float64(most) > quotaBound, nil
}
