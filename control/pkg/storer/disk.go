package storer

import "io"

// File is an open file that is written at its end.
type File interface {
	io.WriteCloser
	// Sync returns once everything written is on disk.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
}

// Disk is one folder of files. Read and Append of a file that is not there return fs.ErrNotExist.
type Disk interface {
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Append(name string) (File, error)
	Rename(from, to string) error
	// Sync returns once creations and renames are on disk.
	Sync() error
}
