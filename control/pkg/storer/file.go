package storer

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
)

// replace replaces the content of the file called name with one record of value. A new file is written, synced and
// renamed, and the folder is synced, so that a crash leaves either the old or the new content.
func (s *Storer) replace(name string, value any) error {
	size, err := replaceFile(s.disk, name, value)
	if name == logName {
		s.size, s.synced = size, size
	}
	return err
}

func replaceFile(disk Disk, name string, value any) (int64, error) {
	payload, err := messenger.Marshal(value)
	if err != nil {
		return 0, err
	}
	file, err := disk.Create(name + newSuffix)
	if err != nil {
		return 0, err
	}
	buf := appendRecord(nil, payload, 0)
	if _, err := file.Write(buf); err != nil {
		return 0, errors.Wrap(err, "write "+name)
	}
	if err := file.Sync(); err != nil {
		return 0, errors.Wrap(err, "sync "+name)
	}
	if err := file.Close(); err != nil {
		return 0, errors.Wrap(err, "close "+name)
	}
	if err := disk.Rename(name+newSuffix, name); err != nil {
		return 0, err
	}
	return int64(len(buf)), disk.Sync()
}

// readFile decodes a file that replaceFile wrote into value, and reports whether the file exists.
func readFile(disk Disk, name string, value any) (bool, error) {
	content, err := disk.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	found, ok := readRecord(content, 0)
	if !ok || found.next != int64(len(content)) {
		return false, errors.Wrap(ErrDamaged, name)
	}
	if err := messenger.Unmarshal(found.payload, value); err != nil {
		return false, errors.CombineErrors(errors.Wrap(ErrDamaged, name), err)
	}
	return true, nil
}
