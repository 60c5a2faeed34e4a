package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The tenants and their keys.
const (
	tenant, key           = "hule930", "3fexd9dnn2ctnfzs989a"
	otherTenant, otherKey = "mira412", "nu6wsjnbanfqasnmgkcu"
)

// configuration returns a small configuration with the given version: an unsafe and two safe routes of each service, and
// two tenants.
func configuration(version int, services ...string) map[string]any {
	var items, paths []any
	for _, service := range services {
		items = append(items, map[string]any{
			"name": service, "health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls_enabled": false,
		})
	}
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "path_prefix": prefix, "route_type": kind, "timeout_s": 2, "target_latency_s": 0.8, "priority": 1,
			"service": service, "attempts": 2, "anonymous_allowed": false,
		}
	}
	for i, service := range services {
		paths = append(paths, route(fmt.Sprintf("r-book-%d", i), fmt.Sprintf("/book%d/", i), "unsafe", service),
			route(fmt.Sprintf("r-book-view-%d", i), fmt.Sprintf("/book%d/view/", i), "safe", service),
			route(fmt.Sprintf("r-view-%d", i), fmt.Sprintf("/view%d/", i), "safe", service))
	}
	return map[string]any{
		"version": version, "services": items,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": []any{
			map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1, "rate_per_s": 300, "burst_size": 300},
			map[string]any{"name": otherTenant, "api_keys": []string{otherKey}, "priority": 1, "rate_per_s": 300, "burst_size": 300},
		},
		"virtual_hosts": []any{map[string]any{"host": host, "paths": paths}},
	}
}

// prepare starts a fleet of 3 core machines and nodes of one service, with a server beside each node, and puts the first
// configuration in force.
func prepare(
	ctx context.Context, f *fleet, group *sync.WaitGroup, nodes int, handle func(*server, http.ResponseWriter, *http.Request, []byte),
) ([]*server, error) {
	f.addCores(3, "z1", "z2", "z3")
	var servers []*server
	for i := range nodes {
		servers = append(servers, newServer(f, f.addNode([]string{"z1", "z2"}[i%2], "bookings"), 5, 50*time.Millisecond, handle))
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	status, err := f.order(http.MethodPut, 0, configuration(5, "bookings"), 15*time.Second)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("%w: the first configuration got %d: %w", errCannotRun, status, err)
	}
	for _, s := range servers {
		if err := s.start(); err != nil {
			return nil, err
		}
		group.Go(func() { s.beats(ctx) })
	}
	if err := f.awaitReady(f.nodes, 15*time.Second); err != nil {
		return nil, err
	}
	// The machines come in touch.
	pause(ctx, stability+2*time.Second)
	return servers, nil
}

// serveAll answers each request after the usual work.
func serveAll(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
	pause(r.Context(), s.work)
	_, _ = io.WriteString(w, wholeBody(r.Header.Get("Attempt-Id")))
}

// wholeBody returns the body of the answer to the request with the id.
func wholeBody(id string) string { return "whole body of " + id }
