package planner

import (
	"slices"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
	"samphiremount.example/ctl/pkg/importer"
)

// objects holds the objects of a configuration that a sheet can describe, by name. The field keys holds, for each
// workspace, the sorted identifiers of its keys that are not withdrawn.
type objects struct {
	services   map[string]configurer.Service
	workspaces map[string]configurer.Workspace
	routes     map[string]configurer.Route
	keys       map[string][]string
}

func newObjects(state State) (objects, error) {
	current := objects{
		make(map[string]configurer.Service), make(map[string]configurer.Workspace), make(map[string]configurer.Route),
		make(map[string][]string),
	}
	changes, err := configurer.Changes(state.Records)
	if err != nil {
		return current, err
	}
	for _, change := range changes {
		switch change := change.(type) {
		case configurer.PutService:
			current.services[change.Service.Name] = change.Service
		case configurer.PutWorkspace:
			current.workspaces[change.Workspace.Name] = change.Workspace
		case configurer.PutRoute:
			current.routes[change.Route.Name] = change.Route
		case configurer.IssueKey:
			if !change.Key.Withdrawn {
				current.keys[change.Key.Workspace] = append(current.keys[change.Key.Workspace], change.Key.ID)
			}
		case configurer.RemoveService, configurer.RemoveWorkspace, configurer.RemoveRoute, configurer.WithdrawKey,
			configurer.RemoveKey, configurer.PutDocument, configurer.RemoveDocument, configurer.Evacuate, configurer.WithdrawEvacuation,
			configurer.PutLenders:
		}
	}
	for _, ids := range current.keys {
		slices.Sort(ids)
	}
	return current, nil
}

// Export returns the sheet that describes the configuration in state. Rows of each kind are sorted by name.
func Export(state State) (importer.Sheet, error) {
	current, err := newObjects(state)
	if err != nil {
		return importer.Sheet{}, err
	}
	var sheet importer.Sheet
	for _, name := range sortedKeys(current.services) {
		sheet.Services = append(sheet.Services, current.services[name])
	}
	for _, name := range sortedKeys(current.workspaces) {
		workspace := importer.Workspace{Workspace: current.workspaces[name], Keys: len(current.keys[name])}
		sheet.Workspaces = append(sheet.Workspaces, workspace)
	}
	for _, name := range sortedKeys(current.routes) {
		sheet.Routes = append(sheet.Routes, current.routes[name])
	}
	return sheet, nil
}

// Capacity returns the total slots that the targets of each service announce. Targets that are leaving, and targets on
// nodes that are gone or leaving, are not counted.
func Capacity(nodes []tracker.Node) map[string]int {
	capacity := make(map[string]int)
	for _, node := range nodes {
		if node.Gone || node.Leaving {
			continue
		}
		for _, target := range node.Targets {
			if !target.Leaving {
				capacity[target.Service] += target.Slots
			}
		}
	}
	return capacity
}
