package storer_test

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"samphiremount.example/control/pkg/storer"
)

var errInjected = errors.New("injected failure")

// memoryDisk is a Disk in memory that can lose unsynced content in a crash. Creations and renames are durable at once,
// since the storer relies only on their order relative to syncs. With failAfter 0, each write, sync, creation and rename
// fails; a positive failAfter is the number of operations until then.
type memoryDisk struct {
	files     map[string]*memoryFile
	failAfter int
}

type memoryFile struct {
	disk    *memoryDisk
	content []byte
	synced  int
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: make(map[string]*memoryFile), failAfter: -1}
}

func (m *memoryDisk) countOperation() error {
	if m.failAfter == 0 {
		return errInjected
	}
	m.failAfter--
	return nil
}

// crash keeps the synced content of each file and a random part of the rest, in which random sectors become zeros.
func (m *memoryDisk) crash(random *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		file := m.files[name]
		kept := file.synced + random.IntN(len(file.content)-file.synced+1)
		file.content = slices.Clone(file.content[:kept])
		for start := file.synced; start < kept; {
			end := min((start/512+1)*512, kept)
			if random.IntN(2) == 0 {
				clear(file.content[start:end])
			}
			start = end
		}
		file.synced = kept
	}
	m.failAfter = -1
}

func (m *memoryDisk) Read(name string) ([]byte, error) {
	file, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.content), nil
}

func (m *memoryDisk) Create(name string) (storer.File, error) {
	m.files[name] = &memoryFile{disk: m}
	return m.files[name], m.countOperation()
}

func (m *memoryDisk) Append(name string) (storer.File, error) {
	if _, ok := m.files[name]; !ok {
		return nil, fs.ErrNotExist
	}
	return m.files[name], nil
}

func (m *memoryDisk) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryDisk) Sync() error { return m.countOperation() }

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.disk.countOperation(); err != nil {
		half := len(p) / 2
		f.content = append(f.content, p[:half]...)
		return half, err
	}
	f.content = append(f.content, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	f.synced = len(f.content)
	return nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.content = f.content[:size]
	return nil
}

func (f *memoryFile) Close() error { return nil }
