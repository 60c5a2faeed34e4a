package extrapolator

import (
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/matcher"
	"samphiremount.example/core/tracker"
)

// MeasureCPU measures, in this process, the CPU time that it takes to apply the messages of the control process:
// configuration changes, snapshots and deltas of the directory.
func MeasureCPU() ([]Series, error) {
	kinds := []struct {
		name       string
		sizeUnit   string
		designSize float64
		sizes      []int
		prepare    func(size int) (func() error, error)
	}{
		{
			"one change applied (With), beside as many keys", "workspaces", designWorkspaces,
			[]int{5000, 20000, 40000, 81000},
			applyChange,
		},
		{
			"one snapshot decoded and installed", "records", 2*designWorkspaces + designRoutes + designServices,
			[]int{10000, 20000, 40000, 80000},
			installSnapshot,
		},
		{"routes indexed after a change", "routes", designRoutes, []int{2000, 4000, 8000, 11000}, indexRoutes},
		{"one directory delta merged", "targets", designTargets, []int{1100, 2200, 4400, 9460}, mergeDelta},
	}
	var all []Series
	for _, kind := range kinds {
		series := Series{Name: kind.name, Unit: "µs", SizeUnit: kind.sizeUnit, DesignSize: kind.designSize}
		for _, size := range kind.sizes {
			work, err := kind.prepare(size)
			if err != nil {
				return nil, err
			}
			value, err := cpuTimePerRun(work)
			if err != nil {
				return nil, err
			}
			series.Points = append(series.Points, Point{float64(size), value})
		}
		all = append(all, series)
	}
	return all, nil
}

// applyChange returns a function that applies a change of one workspace to a configuration with size workspaces and
// keys.
func applyChange(size int) (func() error, error) {
	configuration, err := buildConfiguration(workspaceChanges(size), keyChanges(size))
	batch := configurer.Batch{Operation: "one", Changes: workspaceChanges(1)}
	return func() error {
		_, _, err := configuration.With(batch)
		return err
	}, err
}

// installSnapshot returns a function that decodes a configuration with size records, half workspaces and half keys.
func installSnapshot(size int) (func() error, error) {
	configuration, err := buildConfiguration(workspaceChanges(size/2), keyChanges(size/2))
	if err != nil {
		return nil, err
	}
	encoded, err := configuration.Encode()
	return func() error {
		_, err := configurer.Decode(encoded)
		return err
	}, err
}

// indexRoutes returns a function that builds the matcher for size routes.
func indexRoutes(size int) (func() error, error) {
	configuration, err := buildConfiguration(serviceChanges(designServices), routeChanges(size))
	return func() error {
		_ = matcher.New(configuration.Routes())
		return nil
	}, err
}

// mergeDelta returns a function that merges a newer record of one node into a directory with about size targets.
func mergeDelta(size int) (func() error, error) {
	directory, _ := tracker.Directory{}.With(nodeRecords(size / targetsPerNode)...)
	return func() error {
		node := nodeRecord(0)
		node.Sequence++
		_, _ = directory.With(node)
		return nil
	}, nil
}
