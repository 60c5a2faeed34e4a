package planner

import (
	"slices"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
	"samphiremount.example/ctl/pkg/importer"
)

// holdings is a configuration as the sheet sees it. Keys lists the identifiers in force of each workspace.
type holdings struct {
	services   map[string]configurer.Service
	workspaces map[string]configurer.Workspace
	routes     map[string]configurer.Route
	keys       map[string][]string
}

func newHoldings(state State) (holdings, error) {
	held := holdings{
		make(map[string]configurer.Service), make(map[string]configurer.Workspace), make(map[string]configurer.Route),
		make(map[string][]string),
	}
	changes, err := configurer.Changes(state.Records)
	if err != nil {
		return held, err
	}
	for _, change := range changes {
		switch change := change.(type) {
		case configurer.PutService:
			held.services[change.Service.Name] = change.Service
		case configurer.PutWorkspace:
			held.workspaces[change.Workspace.Name] = change.Workspace
		case configurer.PutRoute:
			held.routes[change.Route.Name] = change.Route
		case configurer.IssueKey:
			if !change.Key.Withdrawn {
				held.keys[change.Key.Workspace] = append(held.keys[change.Key.Workspace], change.Key.ID)
			}
		case configurer.RemoveService, configurer.RemoveWorkspace, configurer.RemoveRoute, configurer.WithdrawKey,
			configurer.RemoveKey, configurer.PutDocument, configurer.RemoveDocument:
		}
	}
	for _, ids := range held.keys {
		slices.Sort(ids)
	}
	return held, nil
}

// Export returns the sheet that describes state, sorted by name.
func Export(state State) (importer.Sheet, error) {
	held, err := newHoldings(state)
	if err != nil {
		return importer.Sheet{}, err
	}
	var sheet importer.Sheet
	for _, name := range sortedKeys(held.services) {
		sheet.Services = append(sheet.Services, held.services[name])
	}
	for _, name := range sortedKeys(held.workspaces) {
		workspace := importer.Workspace{Workspace: held.workspaces[name], Keys: len(held.keys[name])}
		sheet.Workspaces = append(sheet.Workspaces, workspace)
	}
	for _, name := range sortedKeys(held.routes) {
		sheet.Routes = append(sheet.Routes, held.routes[name])
	}
	return sheet, nil
}

// Capacity returns the slots that each service's present targets announce.
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
