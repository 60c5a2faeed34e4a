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

type routeKey struct {
	host   string
	prefix string
}

// New indexes routes. Of two routes with equal host and prefix the one with the smaller name wins.
func New(routes []configurer.Route) Matcher {
	index := make(map[routeKey]configurer.Route, len(routes))
	for _, route := range routes {
		place := routeKey{strings.ToLower(route.Host), trimSlashes(route.Prefix)}
		if old, ok := index[place]; ok && old.Name < route.Name {
			continue
		}
		index[place] = route
	}
	return Matcher{routes: index}
}

// Match returns the route for a request to host (without port) and a clean absolute path. The longest prefix of whole
// path segments wins; at equal length a route for the host goes before one for every host.
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

func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}
