package proposer_test

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphiremount.example/control/pkg/storer"
)

// fullDisk refuses writes while full is set, after half of the bytes.
type fullDisk struct {
	storer.Disk

	full *atomic.Bool
}

type fullFile struct {
	storer.File

	full *atomic.Bool
}

func (d fullDisk) Create(name string) (storer.File, error) {
	if d.full.Load() {
		return nil, errors.Wrap(syscall.ENOSPC, "create")
	}
	file, err := d.Disk.Create(name)
	return fullFile{file, d.full}, err
}

func (d fullDisk) Append(name string) (storer.File, error) {
	file, err := d.Disk.Append(name)
	return fullFile{file, d.full}, err
}

func (f fullFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	return n, errors.Wrap(syscall.ENOSPC, "write")
}

// TestFullDiskEndsTheProcess fills the disk of one member after another while changes are made. No member may end, changes
// must be accepted meanwhile, and by each member after its disk has room again.
func TestFullDiskEndsTheProcess(t *testing.T) {
	full := make(map[int]*atomic.Bool)
	c := newClusterWith(t, 3, func(disk storer.Disk) storer.Disk {
		state := new(atomic.Bool)
		full[len(full)] = state
		return fullDisk{disk, state}
	})
	changes := 0
	change := func() {
		changes++
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			leader := c.waitForLeader()
			_, err := leader.Propose(t.Context(), batch(fmt.Sprint("change", changes), workspace("w", changes)))
			if err == nil {
				return
			}
			assert.Assert(t, time.Now().Before(deadline), "change %d: %v", changes, err)
		}
	}
	change()
	for i := range full {
		full[i].Store(true)
		for range 3 {
			change()
		}
		time.Sleep(500 * time.Millisecond)
		full[i].Store(false)
		change()
	}
	for name, m := range c.members {
		for deadline := time.Now().Add(20 * time.Second); m.hub.Configuration().Version() < uint64(changes); time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "%s has version %d of %d", name, m.hub.Configuration().Version(), changes)
		}
	}
}
