package extrapolator

import (
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/matcher"
	"samphiremount.example/core/tracker"
)

// MeasureHeap measures, in this process, the heap that each kind of state takes.
func MeasureHeap() ([]Series, error) {
	kinds := []struct {
		name       string
		sizeUnit   string
		designSize float64
		sizes      []int
		create     func(size int) (any, error)
	}{
		{
			"heap of workspaces", "workspaces", designWorkspaces,
			[]int{5000, 10000, 20000, 40000, 81000},
			func(size int) (any, error) { return buildConfiguration(workspaceChanges(size)) },
		},
		{
			"heap of keys, with a workspace each", "keys", designWorkspaces,
			[]int{5000, 10000, 20000, 40000, 81000},
			func(size int) (any, error) { return buildConfiguration(workspaceChanges(size), keyChanges(size)) },
		},
		{
			"heap of routes, with 620 services and the matcher", "routes", designRoutes,
			[]int{2000, 4000, 8000, 11000},
			func(size int) (any, error) { return routesWithMatcher(size) },
		},
		{
			"heap of the directory", "targets", designTargets,
			[]int{1100, 2200, 4400, 9460},
			func(size int) (any, error) {
				directory, _ := tracker.Directory{}.With(nodeRecords(size / targetsPerNode)...)
				return directory, nil
			},
		},
	}
	var all []Series
	for _, kind := range kinds {
		series := Series{Name: kind.name, Unit: "bytes", SizeUnit: kind.sizeUnit, DesignSize: kind.designSize}
		for _, size := range kind.sizes {
			value, err := retainedHeap(func() (any, error) { return kind.create(size) })
			if err != nil {
				return nil, err
			}
			series.Points = append(series.Points, Point{float64(size), value})
		}
		all = append(all, series)
	}
	return all, nil
}

// routing is the configuration with the matcher of its routes.
type routing struct {
	configuration configurer.Configuration
	matcher       matcher.Matcher
}

func routesWithMatcher(size int) (routing, error) {
	configuration, err := buildConfiguration(serviceChanges(designServices), routeChanges(size))
	return routing{configuration, matcher.New(configuration.Routes())}, err
}
