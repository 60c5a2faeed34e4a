package configurer_test

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/refuser"
)

func workspace(name string) configurer.Change {
	return configurer.PutWorkspace{Workspace: configurer.Workspace{Name: name, Rate: 1, Burst: 1}}
}

func key(id, workspace string) configurer.Change {
	return configurer.IssueKey{Key: configurer.Key{ID: id, Workspace: workspace, Digest: keyer.Digest{1}}}
}

func apply(t *testing.T, c configurer.Configuration, changes ...configurer.Change) configurer.Configuration {
	t.Helper()
	operation := fmt.Sprintf("operation-%d", c.Version())
	next, _, err := c.With(configurer.Batch{Operation: operation, Changes: changes})
	assert.NilError(t, err)
	return next
}

func TestResentOperationGetsItsFirstReceipt(t *testing.T) {
	batch := configurer.Batch{Operation: "one", Changes: []configurer.Change{workspace("a")}}
	first, receipt, err := configurer.Configuration{}.With(batch)
	assert.NilError(t, err)
	later := apply(t, first, workspace("b"))
	unchanged, resent, err := later.With(batch)
	assert.NilError(t, err)
	assert.Equal(t, resent, receipt)
	assert.Equal(t, unchanged.Version(), later.Version())

	restored, err := configurer.FromSnapshot(later.Snapshot())
	assert.NilError(t, err)
	_, resent, err = restored.With(batch)
	assert.NilError(t, err)
	assert.Equal(t, resent, receipt)
}

func TestSameRoutes(t *testing.T) {
	route := configurer.Route{Name: "r", Prefix: "/", Service: "s", Timeout: time.Second}
	start := apply(t, configurer.Configuration{}, configurer.PutService{Service: configurer.Service{Name: "s"}},
		configurer.PutRoute{Route: route})
	other := apply(t, start, workspace("a"))
	assert.Assert(t, other.SameRoutes(start))
	assert.Assert(t, !apply(t, other, configurer.PutRoute{Route: route}).SameRoutes(start))
	assert.Assert(t, !apply(t, other, configurer.RemoveRoute{Name: "r"}).SameRoutes(start))
}

func TestRefusedBatches(t *testing.T) {
	start := apply(t, configurer.Configuration{}, workspace("a"), workspace("c"),
		configurer.PutService{Service: configurer.Service{Name: "s"}}, key("k", "a"),
		configurer.PutRoute{Route: configurer.Route{Name: "r", Prefix: "/", Service: "s", Timeout: time.Second}})
	start = apply(t, start, workspace("a"))
	start = apply(t, start, configurer.RemoveWorkspace{Name: "c"})
	cases := map[string]struct {
		base   uint64
		change configurer.Change
		kind   refuser.Kind
	}{
		"object changed since":         {1, workspace("a"), refuser.ChangeConflict},
		"object removed since":         {2, workspace("c"), refuser.ChangeConflict},
		"workspace without a rate":     {0, configurer.PutWorkspace{}, refuser.ChangeInvalid},
		"workspace that has a key":     {0, configurer.RemoveWorkspace{Name: "a"}, refuser.ChangeInvalid},
		"service that has a route":     {0, configurer.RemoveService{Name: "s"}, refuser.ChangeInvalid},
		"key of an unknown workspace":  {0, key("l", "nobody"), refuser.ChangeInvalid},
		"route to an unknown service":  {0, configurer.PutRoute{}, refuser.ChangeInvalid},
		"service with a floor below 0": {0, configurer.PutService{Service: configurer.Service{Name: "t", Floor: -1}}, refuser.ChangeInvalid},
	}
	const large = math.MaxInt
	route := func(attempts int, rank configurer.Rank) configurer.Change {
		return configurer.PutRoute{Route: configurer.Route{
			Name: "q", Prefix: "/", Service: "s", Timeout: time.Second, MaxAttempts: attempts, Rank: rank,
		}}
	}
	for name, change := range map[string]configurer.Change{
		"rate":        configurer.PutWorkspace{Workspace: configurer.Workspace{Name: "b", Rate: 1e300, Burst: 1}},
		"burst":       configurer.PutWorkspace{Workspace: configurer.Workspace{Name: "b", Rate: 1, Burst: large}},
		"rank":        configurer.PutWorkspace{Workspace: configurer.Workspace{Name: "b", Rate: 1, Burst: 1, Rank: large}},
		"weight":      configurer.PutWorkspace{Workspace: configurer.Workspace{Name: "b", Rate: 1, Burst: 1, Weight: large}},
		"floor":       configurer.PutService{Service: configurer.Service{Name: "t", Floor: large}},
		"connections": configurer.PutService{Service: configurer.Service{Name: "t", MaxConnections: large}},
		"name":        workspace(strings.Repeat("w", 2<<20)),
		"attempts":    route(large, 1),
		"route rank":  route(1, large),
	} {
		cases[name+" too large"] = struct {
			base   uint64
			change configurer.Change
			kind   refuser.Kind
		}{0, change, refuser.ChangeInvalid}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			batch := configurer.Batch{Operation: name, BaseVersion: c.base, Changes: []configurer.Change{workspace("z"), c.change}}
			next, _, err := start.With(batch)
			assert.Equal(t, refuser.From(err).Kind, c.kind)
			_, ok := next.Workspace("z")
			assert.Assert(t, !ok, "a change of a refused batch is in force")
		})
	}
}

// TestConfigurationAgainstMap compares the result of random batches with plain maps, and each version with the one
// restored from its own snapshot.
func TestConfigurationAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := configurer.Configuration{}
		workspaces, withdrawn := map[string]bool{}, map[string]bool{}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		step := 0
		accepted := func(changes ...configurer.Change) bool {
			step++
			next, _, err := current.With(configurer.Batch{Operation: fmt.Sprint(step), Changes: changes})
			if err == nil {
				current = next
			}
			return err == nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				name := names.Draw(t, "workspace")
				assert.Assert(t, accepted(workspace(name)))
				workspaces[name] = true
			},
			"remove": func(t *rapid.T) {
				name := names.Draw(t, "workspace")
				if accepted(configurer.RemoveWorkspace{Name: name}) {
					delete(workspaces, name)
				}
			},
			"issue": func(t *rapid.T) {
				name := names.Draw(t, "workspace")
				id := names.Draw(t, "key")
				ok := accepted(key(id, name))
				assert.Equal(t, ok, workspaces[name], "a key needs its workspace")
			},
			"withdraw": func(t *rapid.T) {
				id := names.Draw(t, "key")
				assert.Assert(t, accepted(configurer.WithdrawKey{ID: id}))
				withdrawn[id] = true
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(current.Workspaces()), len(workspaces))
				for id := range withdrawn {
					stored, _ := current.Key(id)
					assert.Assert(t, stored.Withdrawn, "a withdrawn key is back in force")
				}
				restored, err := configurer.FromSnapshot(current.Snapshot())
				assert.NilError(t, err)
				assert.DeepEqual(t, restored.Snapshot(), current.Snapshot())
			},
		})
	})
}

// TestConfigurationThatCannotBeRestoredIsRefused guards against more objects than a snapshot can be decoded with.
func TestConfigurationThatCannotBeRestoredIsRefused(t *testing.T) {
	var changes []configurer.Change
	for i := range 1<<20 + 1 {
		changes = append(changes, configurer.PutDocument{Document: configurer.Document{Name: strconv.Itoa(i)}})
	}
	c, _, err := configurer.Configuration{}.With(configurer.Batch{Operation: "many", Changes: changes})
	if err == nil {
		data, encodeErr := c.Encode()
		assert.NilError(t, encodeErr)
		_, err = configurer.Decode(data)
		assert.NilError(t, err)
	}
	assert.Equal(t, refuser.From(err).Kind, refuser.ChangeInvalid)
}
