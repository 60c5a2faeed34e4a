package matcher_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/matcher"
)

func TestMatch(t *testing.T) {
	routes := matcher.New([]configurer.Route{
		{Name: "root", Prefix: "/"},
		{Name: "bookings", Prefix: "/bookings"},
		{Name: "slots", Prefix: "/bookings/slots/"},
		{Name: "hosted", Host: "Court.Example", Prefix: "/bookings"},
		{Name: "second", Prefix: "/bookings"},
	})
	cases := []struct{ host, path, route string }{
		{"any", "/", "root"},
		{"any", "/other", "root"},
		{"any", "/bookings", "bookings"},
		{"any", "/bookings/", "bookings"},
		{"any", "/bookingsx", "root"},
		{"any", "/bookings/slots", "bookings"},
		{"any", "/bookings/slots/", "slots"},
		{"any", "/bookings/slots/7", "slots"},
		{"any", "/bookings/slots/7/", "slots"},
		{"any", "/bookings/slotsx", "bookings"},
		{"court.example", "/bookings/7", "hosted"},
		{"COURT.example", "/bookings/slots", "hosted"},
		{"COURT.example", "/bookings/slots/", "slots"},
	}
	for _, c := range cases {
		route, ok := routes.Match(c.host, c.path)
		assert.Assert(t, ok)
		assert.Equal(t, route.Name, c.route, "%s %s", c.host, c.path)
	}
	_, ok := matcher.New(nil).Match("any", "/")
	assert.Assert(t, !ok)
}

// TestEncodedSlashIsTakenForTheEndOfASegment guards against a request that is served under the terms of a route which begins its
// path only once that is decoded. The target gets the path as it was sent. RFC 3986, section 6.2.2, says which texts are the
// same path.
func TestEncodedSlashIsTakenForTheEndOfASegment(t *testing.T) {
	routes := matcher.New([]configurer.Route{
		{Name: "bookings", Prefix: "/bookings/"}, {Name: "slots", Prefix: "/bookings/slots/"}, {Name: "cafe", Prefix: "/caf\u00e9/%7e%2c/"},
	})
	for path, want := range map[string]string{
		"/bookings/slots%2F7":   "bookings",
		"/bookings%2fslots/7":   "",
		"/bookings/%73lots/7":   "slots",
		"/bookings/slots/%2F":   "slots",
		"/%62ookings/%7":        "bookings",
		"/caf%c3%A9/~%2C/7":     "cafe",
		"/caf%C3%A9/~,/7":       "",
		"/caf%25C3%25A9/~%2C/7": "",
	} {
		route, _ := routes.Match("any", path)
		assert.Equal(t, route.Name, want, path)
	}
}

// TestPathWithoutTheSlashOfAPrefixIsTakenForIt guards against a route that takes the request whose path is its prefix
// without the trailing slash: an unsafe request ran under the terms, and at the service, of a route that does not begin its
// path.
func TestPathWithoutTheSlashOfAPrefixIsTakenForIt(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab"})
	segments := rapid.SliceOfN(segment, 0, 3)
	place := rapid.Custom(func(t *rapid.T) string {
		path := "/" + strings.Join(segments.Draw(t, "segments"), "/")
		if rapid.Bool().Draw(t, "slash") && path != "/" {
			path += "/"
		}
		return path
	})
	rapid.Check(t, func(t *rapid.T) {
		var routes []configurer.Route
		for _, prefix := range rapid.SliceOfDistinct(place, func(p string) string { return p }).Draw(t, "prefixes") {
			routes = append(routes, configurer.Route{Name: prefix, Prefix: prefix})
		}
		path, longest := place.Draw(t, "path"), ""
		for _, route := range routes {
			whole := strings.HasPrefix(path, route.Prefix) &&
				(strings.HasSuffix(route.Prefix, "/") || path == route.Prefix || path[len(route.Prefix)] == '/')
			if whole && len(route.Prefix) > len(longest) {
				longest = route.Prefix
			}
		}
		route, ok := matcher.New(routes).Match("any", path)
		assert.Equal(t, ok, longest != "")
		assert.Equal(t, route.Name, longest, path)
	})
}
