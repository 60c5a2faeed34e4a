package storer_test

import (
	"bytes"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/replicator"
)

func open(disk storer.Disk) (*storer.Storer, replicator.Stored, error) {
	s, _, stored, err := storer.Open(disk, "a", "a1")
	return s, stored, err
}

func entries(from, to, term uint64) []replicator.Entry {
	var made []replicator.Entry
	for index := from; index <= to; index++ {
		position := replicator.Position{Index: index, Term: term}
		made = append(made, replicator.Entry{Position: position, Data: bytes.Repeat([]byte{1, byte(index) + 1}, 100)})
	}
	return made
}

// model is the expected content of the disk: synced as of the last sync, written with all later writes.
type model struct {
	synced, written replicator.Stored
}

func (m *model) write(save replicator.Save) {
	m.written.State = save.State
	if save.Snapshot != nil {
		m.written.Snapshot, m.written.Entries = *save.Snapshot, save.Entries
		return
	}
	if len(save.Entries) > 0 {
		first := save.Entries[0].Position.Index
		later := func(e replicator.Entry) bool { return e.Position.Index >= first }
		m.written.Entries = slices.Concat(slices.DeleteFunc(slices.Clone(m.written.Entries), later), save.Entries)
	}
}

func (m *model) lastIndex() uint64 {
	if len(m.written.Entries) == 0 {
		return m.written.Snapshot.Position.Index
	}
	return m.written.Entries[len(m.written.Entries)-1].Position.Index
}

// TestSyncedWritesSurvive writes, syncs, fails and crashes at random. After each restart the storer must hold everything
// that was synced, and of the later saves a prefix of complete ones.
func TestSyncedWritesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk, random := newMemoryDisk(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s, _, err := open(disk)
		assert.NilError(t, err)
		var m model
		var history []replicator.Stored
		term := uint64(1)
		write := func(save replicator.Save) {
			if s.Write(save) == nil {
				m.write(save)
				history = append(history, m.written)
			} else if save.Snapshot != nil {
				// A failed save may have replaced the snapshot, the snapshot and the log, or neither.
				half := m
				half.write(save)
				half.written.State = m.written.State
				history = append(history, half.written)
				m.write(save)
				history = append(history, m.written)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				first := m.lastIndex() + 1 - min(rapid.Uint64Range(0, 2).Draw(t, "back"), m.lastIndex()-m.written.Snapshot.Position.Index)
				term += uint64(rapid.IntRange(0, 1).Draw(t, "term"))
				count := rapid.Uint64Range(0, 3).Draw(t, "count")
				write(replicator.Save{State: replicator.State{Term: term}, Entries: entries(first, first+count, term)})
			},
			"snapshot": func(*rapid.T) {
				if len(m.written.Entries) == 0 {
					return
				}
				at := m.written.Entries[0].Position
				snapshot := replicator.Snapshot{Position: at, Data: []byte("state")}
				write(replicator.Save{State: m.written.State, Snapshot: &snapshot, Entries: m.written.Entries[1:]})
			},
			"sync": func(*rapid.T) {
				if s.Sync() == nil {
					m.synced, history = m.written, nil
				}
			},
			"fail": func(t *rapid.T) { disk.failAfter = rapid.IntRange(0, 4).Draw(t, "after") },
			"crash": func(t *rapid.T) {
				disk.crash(random)
				var stored replicator.Stored
				s, stored, err = open(disk)
				assert.NilError(t, err)
				assert.Assert(t, matches(stored, append(history, m.synced)), "%+v", stored)
				m, history = model{stored, stored}, nil
			},
		})
	})
}

func matches(stored replicator.Stored, allowed []replicator.Stored) bool {
	return slices.ContainsFunc(allowed, func(a replicator.Stored) bool {
		same := func(x, y replicator.Entry) bool { return x.Position == y.Position }
		return a.State == stored.State && a.Snapshot.Position == stored.Snapshot.Position &&
			slices.EqualFunc(a.Entries, stored.Entries, same)
	})
}

// TestDamageIsRefused flips a bit in each byte of a synced log and of the identity in turn, and removes each file. Open
// must return ErrDamaged each time.
func TestDamageIsRefused(t *testing.T) {
	disk := newMemoryDisk()
	s, _, err := open(disk)
	assert.NilError(t, err)
	for index := range uint64(3) {
		assert.NilError(t, s.Write(replicator.Save{State: replicator.State{Term: 1}, Entries: entries(index+1, index+1, 1)}))
		assert.NilError(t, s.Sync())
	}
	for _, name := range []string{"log", "identity"} {
		content, err := disk.Read(name)
		assert.NilError(t, err)
		for i := range content {
			damaged := slices.Clone(content)
			damaged[i] ^= 0x10
			disk.files[name].content = damaged
			_, _, err := open(disk)
			assert.ErrorIs(t, err, storer.ErrDamaged, "byte %d of %s", i, name)
		}
		disk.files[name].content = content
		file := disk.files[name]
		delete(disk.files, name)
		_, _, err = open(disk)
		assert.ErrorIs(t, err, storer.ErrDamaged, "without %s", name)
		disk.files[name] = file
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	disk := newMemoryDisk()
	s, _, err := open(disk)
	assert.NilError(t, err)
	assert.NilError(t, s.Write(replicator.Save{State: replicator.State{Term: 1}}))
	disk.failAfter = 0
	assert.ErrorIs(t, s.Sync(), errInjected)
	disk.failAfter = -1
	assert.ErrorIs(t, s.Sync(), errInjected)
	assert.ErrorIs(t, s.Write(replicator.Save{}), errInjected)
}

func TestFolderHasOneOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	folder, err := storer.NewFolder(path)
	assert.NilError(t, err)
	_, err = storer.NewFolder(path)
	assert.ErrorIs(t, err, storer.ErrBusy)
	s, identity, _, err := storer.Open(folder, "a", "a1")
	assert.NilError(t, err)
	assert.NilError(t, s.Write(replicator.Save{State: replicator.State{Term: 7}, Entries: entries(1, 2, 7)}))
	assert.NilError(t, s.Sync())
	assert.NilError(t, s.Close())
	assert.NilError(t, folder.Close())

	folder, err = storer.NewFolder(path)
	assert.NilError(t, err)
	_, again, stored, err := storer.Open(folder, "a", "a2")
	assert.NilError(t, err)
	assert.Equal(t, again, identity)
	assert.Equal(t, stored.State.Term, uint64(7))
	assert.Equal(t, len(stored.Entries), 2)
	_, _, _, err = storer.Open(folder, "b", "b1")
	assert.ErrorContains(t, err, "belongs to")
}

func FuzzOpen(f *testing.F) {
	disk := newMemoryDisk()
	s, _, err := open(disk)
	assert.NilError(f, err)
	assert.NilError(f, s.Write(replicator.Save{State: replicator.State{Term: 1}, Entries: entries(1, 2, 1)}))
	assert.NilError(f, s.Sync())
	f.Add(disk.files["log"].content)
	f.Fuzz(func(t *testing.T, content []byte) {
		fuzzed := newMemoryDisk()
		_, _, err := open(fuzzed)
		assert.NilError(t, err)
		fuzzed.files["log"].content = content
		_, stored, err := open(fuzzed)
		if err == nil {
			_, again, err := open(fuzzed)
			assert.NilError(t, err)
			assert.Assert(t, matches(again, []replicator.Stored{stored}))
		}
	})
}
