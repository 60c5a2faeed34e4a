package tombstoner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/tombstoner"
)

// TestLookChangesWhatMayStart guards against a question that keeps a request from starting, and against a run that counts as
// forgotten by its gate when its latest start has passed.
func TestLookChangesWhatMayStart(t *testing.T) {
	known := tombstoner.New(1, 10)
	identity := tombstoner.Identity{ID: "a", Incarnation: 1, StartBefore: 100}
	assert.Equal(t, known.Look(0, identity), tombstoner.State(tombstoner.Unseen{}))
	assert.Equal(t, known.Start(0, identity), tombstoner.Go)
	assert.Equal(t, known.Look(200, identity), tombstoner.State(tombstoner.Started{}))
	known.Finish(200, "a", true)
	assert.Equal(t, known.Look(200, identity), tombstoner.State(tombstoner.Finished{}))
	identity.Incarnation = 2
	assert.Equal(t, known.Look(200, identity), tombstoner.State(tombstoner.Forgotten{}))
}
