package storer

import "io"

// File is an open file to which Write appends.
type File interface {
	io.WriteCloser
	// Sync returns once everything written is on disk.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// Disk is one folder of files. Create and Append open a file for appending; Create makes it empty first. Read and Append
// return fs.ErrNotExist if the file does not exist.
type Disk interface {
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Append(name string) (File, error)
	Rename(from, to string) error
	// Sync returns once all creations and renames are on disk.
	Sync() error
}
