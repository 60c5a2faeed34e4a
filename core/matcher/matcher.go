// Package matcher finds the route of a request.
package matcher

import (
	"strings"

	"samphiremount.example/core/configurer"
)

// Matcher finds routes by host and longest path prefix. It is immutable.
type Matcher struct {
	routes map[routeKey]configurer.Route
}

// routeKey is a host in lower case, or empty for every host, and a path prefix without trailing slashes.
type routeKey struct {
	host   string
	prefix string
}

// New returns a Matcher for routes. Of routes with the same host and prefix, only the one with the smallest name is
// used.
func New(routes []configurer.Route) Matcher {
	index := make(map[routeKey]configurer.Route, len(routes))
	for _, route := range routes {
		key := routeKey{strings.ToLower(route.Host), trimSlashes(route.Prefix)}
		if existing, ok := index[key]; ok && existing.Name < route.Name {
			continue
		}
		index[key] = route
	}
	return Matcher{routes: index}
}

// Match returns the route for a request to host (without port) and a clean absolute path, and false if there is none.
// The longest prefix of whole path segments wins. For prefixes of equal length, a route for the host wins over one for
// every host.
func (m Matcher) Match(host, path string) (configurer.Route, bool) {
	host = strings.ToLower(host)
	for prefix := trimSlashes(path); ; prefix = parent(prefix) {
		if route, ok := m.routes[routeKey{host, prefix}]; ok {
			return route, true
		}
		if route, ok := m.routes[routeKey{"", prefix}]; ok {
			return route, true
		}
		if prefix == "" {
			return configurer.Route{}, false
		}
	}
}

func trimSlashes(path string) string {
	return strings.TrimRight(path, "/")
}

// parent returns path without its last segment.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}
