package granter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/granter"
)

func TestBodiesThatAreWithheld(t *testing.T) {
	for _, c := range []struct {
		body     granter.Body
		large    bool
		withheld bool
	}{
		{granter.Body{}, false, false},
		{granter.Body{Upload: true}, false, false},
		{granter.Body{Length: 4000}, false, false},
		{granter.Body{Length: -1}, false, false},
		{granter.Body{Length: granter.MaxReplayBytes}, false, false},
		{granter.Body{Length: granter.MaxReplayBytes + 1}, true, true},
		{granter.Body{Upload: true, Length: 4000}, false, false},
		{granter.Body{Upload: true, Length: 60_000}, true, true},
		{granter.Body{Upload: true, Length: -1}, true, true},
		{granter.Body{Remote: true}, false, false},
		{granter.Body{Remote: true, Length: 1000}, false, false},
		{granter.Body{Remote: true, Length: 4000}, false, true},
		{granter.Body{Remote: true, Length: -1}, false, true},
	} {
		assert.Equal(t, c.body.Large(), c.large, "%+v", c.body)
		assert.Equal(t, c.body.Withhold(), c.withheld, "%+v", c.body)
	}
}

func TestBodyLeavesOnItsGrantOrToAGateWithoutGrants(t *testing.T) {
	assert.Equal(t, granter.Decide(granter.Message{Grants: true}), granter.Wait{})
	assert.Equal(t, granter.Decide(granter.Message{Grants: true, Granted: true}), granter.Send{})
	assert.Equal(t, granter.Decide(granter.Message{}), granter.Send{})
}

func TestPoolIsBounded(t *testing.T) {
	var pool granter.Pool
	steps := 0
	for pool.Acquire(granter.MaxReplayBytes) {
		steps++
	}
	assert.Equal(t, steps*granter.PoolStep, 8<<20)
	pool.Release(1)
	assert.Assert(t, !pool.Acquire(1<<20))
	assert.Assert(t, pool.Acquire(granter.MaxReplayBytes))
}
