package matcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

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
		{"any", "/bookings/slots", "slots"},
		{"any", "/bookings/slots/7", "slots"},
		{"any", "/bookings/slotsx", "bookings"},
		{"court.example", "/bookings/7", "hosted"},
		{"COURT.example", "/bookings/slots", "slots"},
	}
	for _, c := range cases {
		route, ok := routes.Match(c.host, c.path)
		assert.Assert(t, ok)
		assert.Equal(t, route.Name, c.route, "%s %s", c.host, c.path)
	}
	_, ok := matcher.New(nil).Match("any", "/")
	assert.Assert(t, !ok)
}
