package configurer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/configurer"
)

// sized returns the records of a configuration with that many workspaces, each with one key, that many routes, and 620
// services.
func sized(workspaces, routes int) []configurer.Record {
	changes := []configurer.Change{}
	for i := range 620 {
		changes = append(changes, configurer.PutService{Service: configurer.Service{Name: fmt.Sprintf("service-%03d", i)}})
	}
	for i := range workspaces {
		changes = append(changes, workspace(fmt.Sprintf("workspace-%05d", i)))
		changes = append(changes, key(fmt.Sprintf("key-%012d", i), fmt.Sprintf("workspace-%05d", i)))
	}
	for i := range routes {
		changes = append(changes, configurer.PutRoute{Route: configurer.Route{
			Name: fmt.Sprintf("route-%05d", i), Prefix: fmt.Sprintf("/service-%03d/%05d", i%620, i),
			Service: fmt.Sprintf("service-%03d", i%620), Timeout: time.Second,
		}})
	}
	return configurer.NewRecords(changes)
}

// BenchmarkHeap reports the live heap that a configuration takes, in total and per workspace with its key.
func BenchmarkHeap(b *testing.B) {
	for _, workspaces := range []int{9000, 27000, 81000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				configuration, err := configurer.FromSnapshot(configurer.Snapshot{Version: 1, Records: sized(workspaces, workspaces*11/81)})
				assert.NilError(b, err)
				used := heap() - before
				b.ReportMetric(float64(used), "heap-bytes")
				b.ReportMetric(float64(used)/float64(workspaces), "heap-bytes/workspace")
				runtime.KeepAlive(configuration)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkChange changes one workspace, in configurations of three sizes.
func BenchmarkChange(b *testing.B) {
	for _, workspaces := range []int{9000, 27000, 81000} {
		configuration, err := configurer.FromSnapshot(configurer.Snapshot{Version: 1, Records: sized(workspaces, 0)})
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				_, _, err := configuration.With(configurer.Batch{
					Operation: fmt.Sprint(i), Changes: []configurer.Change{workspace(fmt.Sprintf("workspace-%05d", i%workspaces))},
				})
				assert.NilError(b, err)
			}
		})
	}
}
