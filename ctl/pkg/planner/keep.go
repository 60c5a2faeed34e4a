package planner

import (
	"slices"

	"samphiremount.example/core/configurer"
	"samphiremount.example/ctl/pkg/importer"
)

// The keep functions take over from old what a sheet cannot say, since it lacks the column or has none for it.

func keepService(service, old configurer.Service, missing []string) configurer.Service {
	keep(missing, importer.ColumnFloor, &service.Floor, old.Floor)
	service.FloorShare, service.MaxConnections = old.FloorShare, old.MaxConnections
	return service
}

func keepWorkspace(workspace, old configurer.Workspace, missing []string) configurer.Workspace {
	keep(missing, importer.ColumnWeight, &workspace.Weight, old.Weight)
	workspace.Rank = old.Rank
	return workspace
}

func keepRoute(route, old configurer.Route, missing []string) configurer.Route {
	keep(missing, importer.ColumnHost, &route.Host, old.Host)
	keep(missing, importer.ColumnOpen, &route.Open, old.Open)
	keep(missing, importer.ColumnRepeatable, &route.Repeatable, old.Repeatable)
	route.Objective, route.MaxAttempts, route.Rank = old.Objective, old.MaxAttempts, old.Rank
	return route
}

func keep[T any](missing []string, column string, value *T, old T) {
	if slices.Contains(missing, column) {
		*value = old
	}
}
