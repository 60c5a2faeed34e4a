// Package planner compares a sheet with the configuration in force and decides which changes the sheet may make.
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

// State is what control holds: the records of the configuration at a version, and the directory.
type State struct {
	Version uint64
	Records []configurer.Record
	Nodes   []tracker.Node
}

// Plan is the difference between a sheet and a state. Removals are what the state holds and the sheet does not, the
// withdrawals of a removed workspace's keys included.
type Plan struct {
	BaseVersion uint64
	Removals    []configurer.Record
	Changes     []configurer.Record
	MissingKeys []MissingKeys

	floors     []string
	workspaces int
	removed    int
}

// MissingKeys is a number of keys that a workspace lacks.
type MissingKeys struct {
	Workspace string `json:"workspace"`
	Count     int    `json:"count"`
}

// Empty reports whether the sheet asks for nothing that the state lacks. Removals do not count unless they are wanted.
func (p Plan) Empty(remove bool) bool {
	return len(p.Changes) == 0 && len(p.MissingKeys) == 0 && (!remove || len(p.Removals) == 0)
}

// Records returns the changes of one batch: the removals if they are wanted, then what is created or replaced, then
// the keys.
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

// OperationID returns the identity of applying records to version base. It is the same for each try, so that a resent
// sheet is accepted once.
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

// Compare returns the plan that brings state to what sheet asks for.
func Compare(state State, sheet importer.Sheet) (Plan, error) {
	current, err := newHoldings(state)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{BaseVersion: state.Version, workspaces: len(current.workspaces)}
	wanted := make(map[string]bool)
	capacity := Capacity(state.Nodes)
	for _, service := range sheet.Services {
		wanted[importer.KindService+service.Name] = true
		old, ok := current.services[service.Name]
		service = keepService(service, old, sheet.Missing)
		if !ok || old != service {
			plan.add(configurer.PutService{Service: service})
			plan.checkFloor(service, capacity[service.Name])
		}
	}
	for _, workspace := range sheet.Workspaces {
		wanted[importer.KindWorkspace+workspace.Name] = true
		old, ok := current.workspaces[workspace.Name]
		next := keepWorkspace(workspace.Workspace, old, sheet.Missing)
		if !ok || old != next {
			plan.add(configurer.PutWorkspace{Workspace: next})
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
			plan.add(configurer.PutRoute{Route: route})
		}
	}
	plan.remove(current, wanted)
	return plan, nil
}

func (p *Plan) add(change configurer.Change) {
	p.Changes = append(p.Changes, configurer.NewRecord(change))
}

// remove lists what is not wanted. A workspace's keys are withdrawn with it.
func (p *Plan) remove(current holdings, wanted map[string]bool) {
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
		p.removed++
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
