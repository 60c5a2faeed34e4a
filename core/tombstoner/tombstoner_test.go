package tombstoner_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

func identity(id string, before tombstoner.GateTime) tombstoner.Identity {
	return tombstoner.Identity{ID: id, Incarnation: 1, StartBefore: before}
}

func TestStartVerdicts(t *testing.T) {
	gate := tombstoner.New(1, 3)
	assert.Equal(t, gate.Start(0, identity("a", 5_000)), tombstoner.Go)
	assert.Equal(t, gate.Start(0, identity("a", 5_000)), tombstoner.Duplicate)
	assert.Equal(t, gate.Start(0, tombstoner.Identity{ID: "b", Incarnation: 2, StartBefore: 5_000}), tombstoner.WrongIncarnation)
	assert.Equal(t, gate.Start(5_000, identity("c", 5_000)), tombstoner.Late)
	assert.Equal(t, gate.Start(5_000, identity("d", 5_001+tombstoner.Horizon)), tombstoner.TooFarAhead)
	assert.Equal(t, gate.PlaceTombstone(5_000, identity("e", 9_000)), tombstoner.State(tombstoner.Tombstoned{}))
	assert.Equal(t, gate.Start(5_000, identity("e", 9_000)), tombstoner.Tombstone)
	assert.Equal(t, gate.Start(5_000, identity("f", 9_000)), tombstoner.Go)
	assert.Equal(t, gate.Start(5_000, identity("g", 9_000)), tombstoner.Full)
	assert.Equal(t, gate.PlaceTombstone(5_000, identity("g", 9_000)), tombstoner.State(tombstoner.Forgotten{}))
}

func TestStatesAfterFinish(t *testing.T) {
	gate := tombstoner.New(1, 8)
	for id, ran := range map[string]bool{"ran": true, "refused": false} {
		assert.Equal(t, gate.Start(0, identity(id, 5_000)), tombstoner.Go)
		assert.Equal(t, tombstoner.Name(gate.PlaceTombstone(1, identity(id, 5_000))), "started")
		gate.Finish(2, id, ran)
	}
	assert.Equal(t, tombstoner.Name(gate.PlaceTombstone(3, identity("ran", 5_000))), "finished")
	assert.Equal(t, tombstoner.Name(gate.PlaceTombstone(3, identity("refused", 5_000))), "refused")
	assert.Equal(t, tombstoner.Name(gate.PlaceTombstone(9_000, identity("ran", 5_000))), "forgotten")
	assert.Equal(t, gate.Start(9_000, identity("refused", 5_000)), tombstoner.Late)
	assert.Equal(t, gate.Len(), 0)
}

func TestExpiredIdentitiesAreRemoved(t *testing.T) {
	gate := tombstoner.New(1, tombstoner.Capacity)
	for i := range 100_000 {
		now := tombstoner.GateTime(i)
		id := strconv.Itoa(i)
		assert.Equal(t, gate.Start(now, identity(id, now+10_000)), tombstoner.Go)
		gate.Finish(now+5, id, true)
	}
	assert.Assert(t, gate.Len() <= 11_001, "%d", gate.Len())
}

func TestParseReversesName(t *testing.T) {
	for _, state := range []tombstoner.State{
		tombstoner.Tombstoned{}, tombstoner.Started{}, tombstoner.Finished{}, tombstoner.Refused{}, tombstoner.Forgotten{},
	} {
		assert.Equal(t, tombstoner.Parse(tombstoner.Name(state)), state)
	}
	assert.Equal(t, tombstoner.Outcome(tombstoner.Parse("nonsense")), refuser.Outcome(refuser.Unknown{}))
}
