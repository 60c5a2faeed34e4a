// Package matcher finds the route of a request.
package matcher

import (
	"strings"

	"samphiremount.example/core/configurer"
)

// Matcher finds routes by host and longest path prefix. It is immutable.
type Matcher struct {
	routes map[Place]configurer.Route
}

// Place is what the requests of a route are recognized by: a host in lower case, or empty for every host, and a path prefix
// in canonical form. Of two routes with the same place one gets no requests.
type Place struct {
	host   string
	prefix string
}

// PlaceOf returns the place of route.
func PlaceOf(route configurer.Route) Place {
	return Place{strings.ToLower(route.Host), canonical(route.Prefix)}
}

// New returns a Matcher for routes. Of routes with the same place, only the one with the smallest name is used.
func New(routes []configurer.Route) Matcher {
	index := make(map[Place]configurer.Route, len(routes))
	for _, route := range routes {
		place := PlaceOf(route)
		if existing, ok := index[place]; ok && existing.Name < route.Name {
			continue
		}
		index[place] = route
	}
	return Matcher{routes: index}
}

// Match returns the route for a request to host (without port) and path, an absolute path as it was sent, still
// percent-encoded. It returns false if there is none.
// The longest prefix of whole path segments wins. A prefix that ends with a slash matches only paths that begin with it,
// slash included; one without also matches the path that equals it. For prefixes of equal length, a route for the host
// wins over one for every host.
func (m Matcher) Match(host, path string) (configurer.Route, bool) {
	host = strings.ToLower(host)
	for prefix := canonical(path); prefix != ""; prefix = shorten(prefix) {
		if route, ok := m.routes[Place{host, prefix}]; ok {
			return route, true
		}
		if route, ok := m.routes[Place{"", prefix}]; ok {
			return route, true
		}
	}
	return configurer.Route{}, false
}

// shorten returns the next shorter prefix of whole segments: without the trailing slash, or else without the last segment.
func shorten(prefix string) string {
	if trimmed, ok := strings.CutSuffix(prefix, "/"); ok {
		return trimmed
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
}
