// Package planner computes the changes that bring the configuration in force to what a sheet describes, and finds those
// that need the operator's explicit permission.
package planner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
	"samphiremount.example/ctl/pkg/importer"
)

// State is the state of the control processes: the records of the configuration at a version, and the nodes of the
// directory.
type State struct {
	Version uint64
	Records []configurer.Record
	Nodes   []tracker.Node
}

// Plan is the difference between a sheet and a state. Removals delete the objects that the sheet does not hold, and
// withdraw the keys of the workspaces among them. BaseVersion is the version of the state that was compared.
type Plan struct {
	BaseVersion uint64
	Removals    []configurer.Record
	Changes     []configurer.Record
	MissingKeys []MissingKeys

	floorDangers      []string
	workspaceCount    int
	removedWorkspaces int
}

// MissingKeys is the number of keys that must be issued for a workspace to reach the number that the sheet asks for.
type MissingKeys struct {
	Workspace string `json:"workspace"`
	Count     int    `json:"count"`
}

// Empty reports whether applying the plan changes nothing. Removals count only if remove is set.
func (p Plan) Empty(remove bool) bool {
	return len(p.Changes) == 0 && len(p.MissingKeys) == 0 && (!remove || len(p.Removals) == 0)
}

// Records returns the changes of one batch: the removals if remove is set, then the objects that are created or
// replaced, then keys.
func (p Plan) Records(remove bool, keys []configurer.Key) []configurer.Record {
	var records []configurer.Record
	if remove {
		records = append(records, p.Removals...)
	}
	records = append(records, p.Changes...)
	for _, key := range keys {
		records = append(records, configurer.NewRecord(configurer.IssueKey{Key: key}))
	}
	return records
}

// OperationID returns the identifier of the operation that applies records to version base. It is a hash of both, so
// that each attempt has the same identifier and a sheet that is sent twice is applied once.
func OperationID(base uint64, records []configurer.Record) (string, error) {
	content, err := json.Marshal(struct {
		Base    uint64
		Records []configurer.Record
	}{base, records})
	if err != nil {
		return "", errors.Wrap(err, "encode changes")
	}
	sum := sha256.Sum256(content)
	return "sheet-" + hex.EncodeToString(sum[:16]), nil
}

// Compare returns the plan that brings state to what sheet describes.
func Compare(state State, sheet importer.Sheet) (Plan, error) {
	current, err := newObjects(state)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{BaseVersion: state.Version, workspaceCount: len(current.workspaces)}
	wanted := make(map[string]bool)
	capacity := Capacity(state.Nodes)
	for _, service := range sheet.Services {
		wanted[importer.KindService+service.Name] = true
		old, ok := current.services[service.Name]
		service = keepService(service, old, sheet.Missing)
		if !ok || old != service {
			plan.addChange(configurer.PutService{Service: service})
			plan.checkFloor(service, capacity[service.Name])
		}
	}
	for _, workspace := range sheet.Workspaces {
		wanted[importer.KindWorkspace+workspace.Name] = true
		old, ok := current.workspaces[workspace.Name]
		next := keepWorkspace(workspace.Workspace, old, sheet.Missing)
		if !ok || !old.Equal(next) {
			plan.addChange(configurer.PutWorkspace{Workspace: next})
		}
		if missing := workspace.Keys - len(current.keys[workspace.Name]); missing > 0 {
			plan.MissingKeys = append(plan.MissingKeys, MissingKeys{workspace.Name, missing})
		}
	}
	for _, route := range sheet.Routes {
		wanted[importer.KindRoute+route.Name] = true
		old, ok := current.routes[route.Name]
		route = keepRoute(route, old, sheet.Missing)
		if !ok || !old.Equal(route) {
			plan.addChange(configurer.PutRoute{Route: route})
		}
	}
	plan.addRemovals(current, wanted)
	return plan, nil
}

func (p *Plan) addChange(change configurer.Change) {
	p.Changes = append(p.Changes, configurer.NewRecord(change))
}

// addRemovals adds the removal of each object in current that wanted does not contain. The keys of a workspace are
// withdrawn before it is removed.
func (p *Plan) addRemovals(current objects, wanted map[string]bool) {
	for _, name := range sortedKeys(current.routes) {
		if !wanted[importer.KindRoute+name] {
			p.Removals = append(p.Removals, configurer.NewRecord(configurer.RemoveRoute{Name: name}))
		}
	}
	for _, name := range sortedKeys(current.services) {
		if !wanted[importer.KindService+name] {
			p.Removals = append(p.Removals, configurer.NewRecord(configurer.RemoveService{Name: name}))
		}
	}
	for _, name := range sortedKeys(current.workspaces) {
		if wanted[importer.KindWorkspace+name] {
			continue
		}
		p.removedWorkspaces++
		for _, id := range current.keys[name] {
			p.Removals = append(p.Removals, configurer.NewRecord(configurer.WithdrawKey{ID: id}))
		}
		p.Removals = append(p.Removals, configurer.NewRecord(configurer.RemoveWorkspace{Name: name}))
	}
}

func sortedKeys[V any](items map[string]V) []string {
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
