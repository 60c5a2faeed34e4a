package planner

import (
	"slices"

	"samphiremount.example/core/configurer"
	"samphiremount.example/ctl/pkg/importer"
)

// The keep functions copy from old the fields that the sheet does not set: those whose column is missing from this
// sheet, and those for which no sheet has a column.

func keepService(service, old configurer.Service, missing []string) configurer.Service {
	keepIfMissing(missing, importer.ColumnFloor, &service.Floor, old.Floor)
	service.FloorShare, service.MaxConnections = old.FloorShare, old.MaxConnections
	service.ColdDuration, service.ColdRate = old.ColdDuration, old.ColdRate
	return service
}

func keepWorkspace(workspace, old configurer.Workspace, missing []string) configurer.Workspace {
	keepIfMissing(missing, importer.ColumnWeight, &workspace.Weight, old.Weight)
	workspace.Rank, workspace.Regions = old.Rank, old.Regions
	return workspace
}

func keepRoute(route, old configurer.Route, missing []string) configurer.Route {
	keepIfMissing(missing, importer.ColumnHost, &route.Host, old.Host)
	keepIfMissing(missing, importer.ColumnOpen, &route.Open, old.Open)
	keepIfMissing(missing, importer.ColumnRepeatable, &route.Repeatable, old.Repeatable)
	keepIfMissing(missing, importer.ColumnUpload, &route.Upload, old.Upload)
	route.Objective, route.MaxAttempts, route.Rank, route.Regions = old.Objective, old.MaxAttempts, old.Rank, old.Regions
	return route
}

func keepIfMissing[T any](missing []string, column string, value *T, old T) {
	if slices.Contains(missing, column) {
		*value = old
	}
}
