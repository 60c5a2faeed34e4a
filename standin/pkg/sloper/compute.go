package sloper

import (
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/matcher"
	"samphiremount.example/core/tracker"
)

// Compute measures the processor time that a process takes to apply what control sends to it.
func Compute() ([]Series, error) {
	kinds := []struct {
		name   string
		per    string
		target float64
		sizes  []int
		work   func(size int) (func() error, error)
	}{
		{
			"one change applied (With), beside as many keys", "workspaces", targetWorkspaces,
			[]int{5000, 20000, 40000, 81000},
			applyChange,
		},
		{
			"one snapshot decoded and installed", "records", 2*targetWorkspaces + targetRoutes + targetServices,
			[]int{10000, 20000, 40000, 80000},
			installSnapshot,
		},
		{"routes indexed after a change", "routes", targetRoutes, []int{2000, 4000, 8000, 11000}, indexRoutes},
		{"one directory delta merged", "targets", targetTargets, []int{1100, 2200, 4400, 9460}, mergeDelta},
	}
	var all []Series
	for _, kind := range kinds {
		series := Series{Name: kind.name, Unit: "µs", Per: kind.per, Target: kind.target}
		for _, size := range kind.sizes {
			work, err := kind.work(size)
			if err != nil {
				return nil, err
			}
			value, err := processorOf(work)
			if err != nil {
				return nil, err
			}
			series.Points = append(series.Points, Point{float64(size), value})
		}
		all = append(all, series)
	}
	return all, nil
}

func applyChange(size int) (func() error, error) {
	configuration, err := build(workspaceChanges(size), keyChanges(size))
	batch := configurer.Batch{Operation: "one", Changes: workspaceChanges(1)}
	return func() error {
		_, _, err := configuration.With(batch)
		return err
	}, err
}

func installSnapshot(size int) (func() error, error) {
	configuration, err := build(workspaceChanges(size/2), keyChanges(size/2))
	if err != nil {
		return nil, err
	}
	encoded, err := configuration.Encode()
	return func() error {
		_, err := configurer.Decode(encoded)
		return err
	}, err
}

func indexRoutes(size int) (func() error, error) {
	configuration, err := build(serviceChanges(targetServices), routeChanges(size))
	return func() error {
		_ = matcher.New(configuration.Routes())
		return nil
	}, err
}

func mergeDelta(size int) (func() error, error) {
	directory, _ := tracker.Directory{}.With(nodeRecords(size / targetsPerNode)...)
	return func() error {
		node := nodeRecord(0)
		node.Sequence++
		_, _ = directory.With(node)
		return nil
	}, nil
}
