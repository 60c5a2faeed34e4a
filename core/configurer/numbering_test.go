package configurer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/refuser"
)

func numbered(operation string, number, expected uint64, changes ...configurer.Change) configurer.Batch {
	return configurer.Batch{
		Operation: operation, Changes: changes, Numbering: configurer.Numbering{Number: number, Expected: expected},
	}
}

// TestOneOfTwoRacingNumbersWins has operators number their batches at random, resend them and race, and checks that
// only the batches that expect the number in force and increase it are accepted.
func TestOneOfTwoRacingNumbersWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c configurer.Configuration
		var batches []configurer.Batch
		accepted := make(map[string]bool)
		current, text := uint64(0), ""
		for i := range rapid.IntRange(1, 40).Draw(t, "batches") {
			batch := numbered(
				fmt.Sprint(i), rapid.Uint64Range(1, 30).Draw(t, "number"), rapid.Uint64Range(0, 30).Draw(t, "expected"),
				configurer.PutDocument{Document: configurer.Document{Name: "d", Text: fmt.Sprint(i)}},
			)
			if rapid.Bool().Draw(t, "builds on the current one") {
				batch.Numbering.Expected = current
			}
			if len(batches) > 0 && rapid.Bool().Draw(t, "resend") {
				batch = batches[rapid.IntRange(0, len(batches)-1).Draw(t, "which")]
			}
			next, _, err := c.With(batch)
			numbering := batch.Numbering
			switch {
			case accepted[batch.Operation]:
				assert.NilError(t, err)
				assert.Equal(t, next.Version(), c.Version())
			case numbering.Expected != current:
				assert.Equal(t, refuser.From(err).Kind, refuser.ChangeConflict)
			case numbering.Number <= current:
				assert.Equal(t, refuser.From(err).Kind, refuser.ChangeInvalid)
			default:
				assert.NilError(t, err)
				current, accepted[batch.Operation] = numbering.Number, true
				document, _ := next.Document("d")
				text = document.Text
			}
			batches = append(batches, batch)
			c = next
			assert.Equal(t, c.Number(), current)
			document, _ := c.Document("d")
			assert.Equal(t, document.Text, text)
			stored, err := configurer.FromSnapshot(c.Snapshot())
			assert.NilError(t, err)
			assert.Equal(t, stored.Number(), current)
		}
	})
}

func TestRemovedKeyMayBeIssuedToAnotherWorkspace(t *testing.T) {
	key := keyer.External("a key of another issuer")
	issue := func(workspace string) configurer.Change {
		return configurer.IssueKey{Key: configurer.Key{ID: key.ID, Workspace: workspace, Digest: key.Digest()}}
	}
	c, _, err := configurer.Configuration{}.With(numbered("1", 1, 0, workspace("a"), workspace("b"), issue("a")))
	assert.NilError(t, err)
	c, _, err = c.With(numbered("2", 2, 1, configurer.RemoveKey{ID: key.ID}, issue("b")))
	assert.NilError(t, err)
	held, ok := c.Key(key.ID)
	assert.Assert(t, ok && !held.Withdrawn)
	assert.Equal(t, held.Workspace, "b")
	c, _, err = c.With(numbered("3", 3, 2, configurer.RemoveKey{ID: key.ID}))
	assert.NilError(t, err)
	_, ok = c.Key(key.ID)
	assert.Assert(t, !ok)
}

func TestSplitsOfRouteAreChecked(t *testing.T) {
	service := func(name string) configurer.Change {
		return configurer.PutService{Service: configurer.Service{Name: name}}
	}
	base, _, err := configurer.Configuration{}.With(configurer.Batch{Operation: "1", Changes: []configurer.Change{service("a"), service("b")}})
	assert.NilError(t, err)
	for name, splits := range map[string][]configurer.Split{
		"below zero": {{Service: "a", Weight: 2}, {Service: "b", Weight: -1}},
		"all zero":   {{Service: "a"}, {Service: "b"}},
		"unknown":    {{Service: "a", Weight: 1}, {Service: "c", Weight: 1}},
		"too large":  {{Service: "a", Weight: 1 << 62}, {Service: "b", Weight: 1 << 62}},
	} {
		route := configurer.Route{Name: "r", Prefix: "/", Timeout: 1e9, Splits: splits}
		_, _, err := base.With(configurer.Batch{Operation: "2", Changes: []configurer.Change{configurer.PutRoute{Route: route}}})
		assert.Equal(t, refuser.From(err).Kind, refuser.ChangeInvalid, name)
	}
	route := configurer.Route{Name: "r", Prefix: "/", Timeout: 1e9, Rank: 2, MaxAttempts: 2, Objective: 5e8, Splits: []configurer.Split{
		{Service: "a", Weight: 9}, {Service: "b", Weight: 1},
	}}
	c, _, err := base.With(configurer.Batch{Operation: "2", Changes: []configurer.Change{configurer.PutRoute{Route: route}}})
	assert.NilError(t, err)
	stored, err := configurer.FromSnapshot(c.Snapshot())
	assert.NilError(t, err)
	held, _ := stored.Route("r")
	assert.Assert(t, held.Equal(route))
	_, _, err = c.With(configurer.Batch{Operation: "3", Changes: []configurer.Change{configurer.RemoveService{Name: "b"}}})
	assert.Equal(t, refuser.From(err).Kind, refuser.ChangeInvalid)
}
