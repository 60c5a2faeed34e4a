package granter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/granter"
)

func TestBodiesThatAreWithheld(t *testing.T) {
	for _, c := range []struct {
		body     granter.Body
		withheld bool
	}{
		{granter.Body{}, false},
		{granter.Body{Upload: true}, false},
		{granter.Body{Length: 4000}, false},
		{granter.Body{Length: -1}, false},
		{granter.Body{Length: granter.MaxReplayBytes}, false},
		{granter.Body{Length: granter.MaxReplayBytes + 1}, true},
		{granter.Body{Upload: true, Length: 4000}, false},
		{granter.Body{Upload: true, Length: 60_000}, true},
		{granter.Body{Upload: true, Length: -1}, true},
	} {
		assert.Equal(t, c.body.Withhold(), c.withheld, "%+v", c.body)
	}
}

func TestBodyLeavesOnItsGrantOrToAGateWithoutGrants(t *testing.T) {
	assert.Equal(t, granter.Decide(granter.Message{Grants: true}), granter.Wait{})
	assert.Equal(t, granter.Decide(granter.Message{Grants: true, Granted: true}), granter.Send{})
	assert.Equal(t, granter.Decide(granter.Message{}), granter.Send{})
}
