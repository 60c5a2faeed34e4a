package proposer_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/replicator"
)

// BenchmarkCommit measures one operator who waits for each change, with 3 members, real connections and real syncs.
func BenchmarkCommit(b *testing.B) {
	c := newCluster(b, 3)
	leader := c.waitForLeader()
	for i := 0; b.Loop(); i++ {
		_, err := leader.Propose(b.Context(), batch(fmt.Sprint(i), workspace("w", i+1)))
		assert.NilError(b, err)
	}
}

// BenchmarkCommitParallel measures 64 operators per CPU who propose changes at the same time.
func BenchmarkCommitParallel(b *testing.B) {
	c := newCluster(b, 3)
	leader := c.waitForLeader()
	var next atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := next.Add(1)
			_, err := leader.Propose(b.Context(), batch(fmt.Sprint(i), workspace(fmt.Sprint("w", i%64), int(i))))
			assert.NilError(b, err)
		}
	})
}

// BenchmarkFailover measures the time from the loss of the leader to the first change that a new leader accepts.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3)
	for i := 0; b.Loop(); i++ {
		leader := c.waitForLeader()
		for name, m := range c.members {
			if m == leader {
				b.StopTimer()
				c.stop(name)
				b.StartTimer()
				_, err := c.waitForLeader().Propose(b.Context(), batch(fmt.Sprint(i), workspace("w", i+1)))
				assert.NilError(b, err)
				b.StopTimer()
				c.start(name)
				time.Sleep(2 * replicator.ElectionTimeout)
				b.StartTimer()
				break
			}
		}
	}
}

// BenchmarkCommitTarget measures one operator who changes a configuration of the target size. load-ms is the time to load
// that configuration.
func BenchmarkCommitTarget(b *testing.B) {
	c := newCluster(b, 3)
	leader := c.waitForLeader()
	records := targetSizeConfiguration(b).Records()
	changes, err := configurer.Changes(records)
	assert.NilError(b, err)
	started := time.Now()
	_, err = leader.Propose(b.Context(), batch("target", changes...))
	assert.NilError(b, err)
	loaded := time.Since(started)
	for i := 0; b.Loop(); i++ {
		_, err := leader.Propose(b.Context(), batch(fmt.Sprint(i), workspace("workspace1", i+1)))
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(loaded.Milliseconds()), "load-ms")
}

// BenchmarkCatchUp measures the time from the start of a member that missed 4,100 changes until it has applied them.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 4_100
	c := newCluster(b, 3)
	leader := c.waitForLeader()
	away := "m0"
	if c.members[away] == leader {
		away = "m1"
	}
	var next atomic.Int64
	for b.Loop() {
		b.StopTimer()
		c.stop(away)
		var group errgroup.Group
		for range 64 {
			group.Go(func() error {
				for range missed/64 + 1 {
					i := next.Add(1)
					if _, err := leader.Propose(b.Context(), batch(fmt.Sprint(i), workspace(fmt.Sprint("w", i%640), int(i)))); err != nil {
						return err
					}
				}
				return nil
			})
		}
		assert.NilError(b, group.Wait())
		version := leader.hub.Configuration().Version()
		b.StartTimer()
		back := c.start(away)
		for back.hub.Configuration().Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
}

// targetSizeConfiguration returns a configuration of the target size: 11,000 routes to 620 services, and 81,000
// workspaces with a key each.
func targetSizeConfiguration(b *testing.B) configurer.Configuration {
	b.Helper()
	var changes []configurer.Change
	for i := range 620 {
		changes = append(changes, configurer.PutService{Service: configurer.Service{Name: fmt.Sprintf("service%d", i), Floor: 8}})
	}
	for i := range 11_000 {
		changes = append(changes, configurer.PutRoute{Route: configurer.Route{
			Name: fmt.Sprintf("route%d", i), Host: fmt.Sprintf("host%d.example", i%900), Prefix: fmt.Sprintf("/path%d", i),
			Service: fmt.Sprintf("service%d", i%620), Timeout: time.Second,
		}})
	}
	for i := range 81_000 {
		name := fmt.Sprintf("workspace%d", i)
		digest := keyer.Digest{byte(i), byte(i >> 8), byte(i >> 16)}
		changes = append(changes, workspace(name, i+1),
			configurer.IssueKey{Key: configurer.Key{ID: fmt.Sprintf("key%012d", i), Workspace: name, Digest: digest}})
	}
	configuration, _, err := configurer.Configuration{}.With(batch("target", changes...))
	assert.NilError(b, err)
	return configuration
}

// BenchmarkSnapshot encodes a configuration of the target size and writes it as a snapshot, with syncs.
func BenchmarkSnapshot(b *testing.B) {
	configuration := targetSizeConfiguration(b)
	folder, err := storer.NewFolder(b.TempDir())
	assert.NilError(b, err)
	store, _, _, err := storer.Open(folder, "m0", "m0.1")
	assert.NilError(b, err)
	size := 0
	for i := uint64(1); b.Loop(); i++ {
		data, err := configuration.Encode()
		assert.NilError(b, err)
		size = len(data)
		snapshot := replicator.Snapshot{Position: replicator.Position{Index: i, Term: 1}, Data: data}
		assert.NilError(b, store.Write(replicator.Save{State: replicator.State{Term: 1}, Snapshot: &snapshot}))
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkRestore reads a snapshot of the target size from disk and decodes the configuration.
func BenchmarkRestore(b *testing.B) {
	data, err := targetSizeConfiguration(b).Encode()
	assert.NilError(b, err)
	folder, err := storer.NewFolder(b.TempDir())
	assert.NilError(b, err)
	store, _, _, err := storer.Open(folder, "m0", "m0.1")
	assert.NilError(b, err)
	snapshot := replicator.Snapshot{Position: replicator.Position{Index: 1, Term: 1}, Data: data}
	assert.NilError(b, store.Write(replicator.Save{State: replicator.State{Term: 1}, Snapshot: &snapshot}))
	for b.Loop() {
		_, _, stored, err := storer.Open(folder, "m0", "m0.1")
		assert.NilError(b, err)
		_, err = configurer.Decode(stored.Snapshot.Data)
		assert.NilError(b, err)
	}
}

// BenchmarkSync measures one sync of a short record, the minimum cost of a commit.
func BenchmarkSync(b *testing.B) {
	folder, err := storer.NewFolder(b.TempDir())
	assert.NilError(b, err)
	store, _, _, err := storer.Open(folder, "m0", "m0.1")
	assert.NilError(b, err)
	for i := uint64(1); b.Loop(); i++ {
		assert.NilError(b, store.Write(replicator.Save{State: replicator.State{Term: i}}))
		assert.NilError(b, store.Sync())
	}
}
