package proposer_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/refuser"
)

// TestSnapshotsAndReceipts makes more changes than the log keeps, so that a member that was stopped meanwhile needs a
// snapshot to catch up. A retry of the first operation must still get its original receipt, which the snapshot contains.
func TestSnapshotsAndReceipts(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.waitForLeader()
	first, err := leader.Propose(t.Context(), batch("first", workspace("w", 1)))
	assert.NilError(t, err)
	assert.Equal(t, first.Version, uint64(1))
	away := "m0"
	if c.members[away] == leader {
		away = "m1"
	}
	c.stop(away)
	large := make([]string, 100)
	for i := range large {
		large[i] = fmt.Sprintf("%0100000d", i)
	}
	for i, name := range large {
		_, err := leader.Propose(t.Context(), batch(fmt.Sprint(i), workspace(name, 1)))
		assert.NilError(t, err)
	}
	back := c.start(away)
	for deadline := time.Now().Add(20 * time.Second); back.hub.Configuration().Version() < 101; {
		assert.Assert(t, time.Now().Before(deadline), "version %d", back.hub.Configuration().Version())
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, back.ReadBarrier(t.Context()))
	receipt, ok := back.hub.Configuration().Receipt("first")
	assert.Assert(t, ok)
	assert.Equal(t, receipt, first)
	again, err := c.waitForLeader().Propose(t.Context(), batch("first", workspace("w", 1)))
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	_, err = back.Propose(t.Context(), batch("other", workspace("w", 2)))
	assert.Equal(t, refuser.From(err).Kind, refuser.LeaderUnknown)
}

var errDisk = errors.New("the disk failed")

// failingDisk fails the syncs of its files while fails is true.
type failingDisk struct {
	storer.Disk

	fails *atomic.Bool
}

type failingFile struct {
	storer.File

	fails *atomic.Bool
}

func (d failingDisk) Append(name string) (storer.File, error) {
	file, err := d.Disk.Append(name)
	return failingFile{file, d.fails}, err
}

func (f failingFile) Sync() error {
	if f.fails.Load() {
		return errDisk
	}
	return f.File.Sync()
}

func TestFailedSyncEndsTheProcess(t *testing.T) {
	var fails atomic.Bool
	c := newCluster(t, 0)
	c.wrapDisk = func(disk storer.Disk) storer.Disk { return failingDisk{disk, &fails} }
	c.addresses["m0"] = "127.0.0.1:0"
	m := c.start("m0")
	_, err := c.waitForLeader().Propose(t.Context(), batch("first", workspace("w", 1)))
	assert.NilError(t, err)
	m.cancel()
	assert.NilError(t, m.group.Wait())
	assert.NilError(t, m.folder.Close())

	m = c.start("m0")
	c.waitForLeader()
	assert.Equal(t, m.hub.Configuration().Version(), uint64(1))
	fails.Store(true)
	_, err = m.Propose(t.Context(), batch("second", workspace("w", 2)))
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, m.group.Wait(), errDisk)
}

// TestTextThatIsNotUTF8EndsNoProcess guards against an operator's text that can be written to the log but not be read.
func TestTextThatIsNotUTF8EndsNoProcess(t *testing.T) {
	c := newCluster(t, 3)
	odd := configurer.PutDocument{Document: configurer.Document{Name: "d", Text: "caf\xe9"}}
	_, err := c.waitForLeader().Propose(t.Context(), batch("first", odd))
	assert.NilError(t, err)
	c.stop("m0")
	c.start("m0")
	_, err = c.waitForLeader().Propose(t.Context(), batch("second", workspace("w", 1)))
	assert.NilError(t, err)
	for name, m := range c.members {
		for deadline := time.Now().Add(20 * time.Second); m.hub.Configuration().Version() < 2; {
			assert.Assert(t, time.Now().Before(deadline), "%s has version %d", name, m.hub.Configuration().Version())
			time.Sleep(10 * time.Millisecond)
		}
		document, ok := m.hub.Configuration().Document("d")
		assert.Assert(t, ok && document == odd.Document, name)
	}
}

// TestChangeThatCannotBeReadBackIsRefused guards against a log entry that ends every process that applies it.
func TestChangeThatCannotBeReadBackIsRefused(t *testing.T) {
	c := newCluster(t, 1)
	route := configurer.Route{Name: "r", Prefix: "/", Timeout: time.Second, Splits: make([]configurer.Split, 1<<20+1)}
	_, err := c.waitForLeader().Propose(t.Context(), batch("first", configurer.PutRoute{Route: route}))
	assert.Equal(t, refuser.From(err).Kind, refuser.ChangeInvalid, "%v", err)
	_, err = c.waitForLeader().Propose(t.Context(), batch("second", workspace("w", 1)))
	assert.NilError(t, err)
}
