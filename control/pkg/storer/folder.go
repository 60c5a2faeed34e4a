package storer

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	lockName   = "lock"
	filePerm   = 0o600
	folderPerm = 0o700
)

// ErrBusy is returned if another process uses the data folder.
var ErrBusy = errors.New("another process uses the data folder")

// Folder is a Disk in a folder of the file system. It holds an exclusive lock on the folder until it is closed.
type Folder struct {
	path string
	lock *os.File
}

var _ Disk = (*Folder)(nil)

// NewFolder locks the folder at path, which it creates if it does not exist. It returns ErrBusy if another process holds
// the lock.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open lock of data folder")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, errors.Wrap(ErrBusy, path)
		}
		return nil, errors.Wrap(err, "lock data folder")
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock on the folder.
func (f *Folder) Close() error {
	return errors.Wrap(f.lock.Close(), "close lock of data folder")
}

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(f.path, name))
	return content, errors.Wrap(err, "read")
}

// Create implements Disk.
func (f *Folder) Create(name string) (File, error) {
	return f.open(name, os.O_CREATE|os.O_TRUNC)
}

// Append implements Disk.
func (f *Folder) Append(name string) (File, error) {
	return f.open(name, 0)
}

func (f *Folder) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND|flags, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open")
	}
	return file, nil
}

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	return errors.Wrap(os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)), "rename")
}

// Sync implements Disk.
func (f *Folder) Sync() error {
	return syncFolder(f.path)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer func() { _ = folder.Close() }()
	return errors.Wrap(folder.Sync(), "sync folder")
}
