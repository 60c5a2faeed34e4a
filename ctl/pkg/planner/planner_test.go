package planner_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tracker"
	"samphiremount.example/ctl/pkg/importer"
	"samphiremount.example/ctl/pkg/planner"
)

const base = "kind,name,rate,burst,keys,prefix,service,milliseconds,floor\n" +
	"service,bookings,,,,,,,4\nworkspace,a,1,1,1,,,,\nworkspace,b,1,1,0,,,,\nroute,r,,,,/r,bookings,10,\n"

func parse(t assert.TestingT, text string) importer.Sheet {
	sheet, err := importer.Parse(strings.NewReader(text))
	assert.NilError(t, err)
	return sheet
}

// apply applies the records of a plan to configuration as a control process does.
func apply(t assert.TestingT, configuration configurer.Configuration, plan planner.Plan, remove bool) configurer.Configuration {
	var keys []configurer.Key
	for _, item := range plan.MissingKeys {
		for i := range item.Count {
			id := fmt.Sprintf("%s-%d-%d", item.Workspace, plan.BaseVersion, i)
			keys = append(keys, configurer.Key{ID: id, Workspace: item.Workspace})
		}
	}
	records := plan.Records(remove, keys)
	changes, err := configurer.Changes(records)
	assert.NilError(t, err)
	operation, err := planner.OperationID(plan.BaseVersion, records)
	assert.NilError(t, err)
	next, _, err := configuration.With(configurer.Batch{Operation: operation, BaseVersion: plan.BaseVersion, Changes: changes})
	assert.NilError(t, err)
	return next
}

func state(configuration configurer.Configuration) planner.State {
	return planner.State{Version: configuration.Version(), Records: configuration.Records(), Nodes: []tracker.Node{
		{Name: "n", Targets: []tracker.Target{
			{Name: "t", Service: "bookings", Slots: 4}, {Name: "u", Service: "bookings", Slots: 9, Leaving: true},
		}},
		{Name: "gone", Gone: true, Targets: []tracker.Target{{Name: "v", Service: "bookings", Slots: 9}}},
	}}
}

func compare(t assert.TestingT, configuration configurer.Configuration, sheet importer.Sheet) planner.Plan {
	plan, err := planner.Compare(state(configuration), sheet)
	assert.NilError(t, err)
	return plan
}

func TestSheetRemovesObjectsOnlyIfAsked(t *testing.T) {
	first := apply(t, configurer.Configuration{}, compare(t, configurer.Configuration{}, parse(t, base)), false)
	small := parse(t, "kind,name,rate,burst,floor\nservice,other,,,0\nworkspace,b,1,1,\nworkspace,c,1,1,\n")
	plan := compare(t, first, small)
	kept := apply(t, first, plan, false)
	assert.Equal(t, len(kept.Workspaces()), 3)
	assert.Equal(t, len(kept.Routes()), 1)
	removed := apply(t, first, plan, true)
	assert.Equal(t, len(removed.Workspaces()), 2)
	assert.Equal(t, len(removed.Routes()), 0)
	key, ok := removed.Key("a-0-0")
	assert.Assert(t, ok && key.Withdrawn, "the key of a removed workspace is withdrawn")
}

func TestMissingColumnKeepsValues(t *testing.T) {
	first := apply(t, configurer.Configuration{}, compare(t, configurer.Configuration{}, parse(t, base)), false)
	plan := compare(t, first, parse(t, "kind,name\nservice,bookings\n"))
	assert.Assert(t, plan.Empty(false), "a sheet without floors drops none: %+v", plan.Changes)
	blank := compare(t, first, parse(t, "kind,name,floor\nservice,bookings,\n"))
	assert.Equal(t, len(blank.Changes), 1, "a blank cell is a floor of 0")
}

func TestDangersNeedPermission(t *testing.T) {
	first := apply(t, configurer.Configuration{}, compare(t, configurer.Configuration{}, parse(t, base)), false)
	plan := compare(t, first, parse(t, "kind,name,rate,burst,floor\nservice,bookings,,,5\nworkspace,a,1,1,\n"))
	assert.DeepEqual(t, plan.Dangers(planner.Permissions{Remove: true}), []string{
		"service bookings: the floor of 5 slots is above the announced capacity of 4: --floors allows it",
		"1 of 2 workspaces would be removed, half or more: --half allows it",
	})
	assert.Equal(t, len(plan.Dangers(planner.Permissions{Remove: true, RemoveHalf: true, FloorsAboveCapacity: true})), 0)
	assert.Equal(t, len(plan.Dangers(planner.Permissions{FloorsAboveCapacity: true})), 0)
	whole := compare(t, first, parse(t, base))
	assert.Equal(t, len(whole.Dangers(planner.Permissions{Remove: true})), 0, "a floor at the capacity is kept")
}

func TestOperationIDDependsOnBaseVersionAndRecords(t *testing.T) {
	records := compare(t, configurer.Configuration{}, parse(t, base)).Changes
	first, err := planner.OperationID(1, records)
	assert.NilError(t, err)
	repeated, _ := planner.OperationID(1, records)
	later, _ := planner.OperationID(2, records)
	other, _ := planner.OperationID(1, records[1:])
	assert.Equal(t, first, repeated)
	assert.Assert(t, first != later && first != other)
}

func TestSheetConflictsWithConcurrentChange(t *testing.T) {
	first := apply(t, configurer.Configuration{}, compare(t, configurer.Configuration{}, parse(t, base)), false)
	mine := compare(t, first, parse(t, "kind,name,rate,burst\nworkspace,a,2,2\n"))
	theirs := compare(t, first, parse(t, "kind,name,rate,burst\nworkspace,a,3,3\nworkspace,c,3,3\n"))
	raced := apply(t, first, theirs, false)
	changes, err := configurer.Changes(mine.Records(false, nil))
	assert.NilError(t, err)
	batch := configurer.Batch{Operation: "mine", BaseVersion: mine.BaseVersion, Changes: changes}
	_, _, err = raced.With(batch)
	assert.Equal(t, refuser.From(err).Kind, refuser.ChangeConflict)
	batch.BaseVersion = 0
	_, _, err = raced.With(batch)
	assert.NilError(t, err, "without its base the sheet would overwrite the other's change")
}

// TestApplyingASheetAgainChangesNothing applies random sheets one after another. After each of them, both the same sheet
// and the exported sheet must lead to an empty plan.
func TestApplyingASheetAgainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var configuration configurer.Configuration
		for range rapid.IntRange(1, 5).Draw(t, "sheets") {
			sheet := drawSheet(t)
			remove := rapid.Bool().Draw(t, "remove")
			plan := compare(t, configuration, sheet)
			if !plan.Empty(remove) {
				configuration = apply(t, configuration, plan, remove)
			}
			repeated := compare(t, configuration, sheet)
			assert.Assert(t, repeated.Empty(remove), "%+v", repeated)
			exported, err := planner.Export(state(configuration))
			assert.NilError(t, err)
			assert.Assert(t, compare(t, configuration, exported).Empty(true))
		}
	})
}

func drawSheet(t *rapid.T) importer.Sheet {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID)
	var sheet importer.Sheet
	services := names.Draw(t, "services")
	for _, name := range services {
		sheet.Services = append(sheet.Services, configurer.Service{Name: name, Floor: rapid.IntRange(0, 2).Draw(t, "floor")})
	}
	for _, name := range names.Draw(t, "workspaces") {
		rate := configurer.PerSecond(rapid.IntRange(1, 2).Draw(t, "rate"))
		sheet.Workspaces = append(sheet.Workspaces, importer.Workspace{
			Workspace: configurer.Workspace{Name: name, Rate: rate, Burst: 1},
			Keys:      rapid.IntRange(-1, 2).Draw(t, "keys"),
		})
	}
	for _, name := range names.Draw(t, "routes") {
		service := rapid.SampledFrom(services).Draw(t, "service")
		sheet.Routes = append(sheet.Routes, configurer.Route{Name: name, Prefix: "/" + name, Service: service, Timeout: 1e6})
	}
	return sheet
}
