// Package issuer creates keys and stores them in a file that only its owner can read.
package issuer

import (
	"encoding/csv"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/ctl/pkg/planner"
)

const (
	ownerOnlyMode = 0o600
	othersMask    = 0o077
	fieldsPerRow  = 2
)

// Prepare creates the missing keys, writes them to a new file at path, and returns them. If the file already exists, for
// example because the answer to the previous attempt was lost, Prepare returns the keys of the file for which known
// reports false, so that a sheet that is sent again does not issue a second set of keys. It returns an error if these
// keys do not match missing.
func Prepare(path string, missing []planner.MissingKeys, known func(id string) bool, random io.Reader) ([]configurer.Key, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnlyMode)
	if errors.Is(err, fs.ErrExist) {
		return reuseKeys(path, missing, known)
	}
	if err != nil {
		return nil, errors.Wrap(err, "create key file")
	}
	keys, err := writeKeys(file, missing, random)
	if err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return nil, err
	}
	return keys, syncDirectory(path)
}

// writeKeys creates the keys, and writes and syncs them to file before any of them is in force.
func writeKeys(file *os.File, missing []planner.MissingKeys, random io.Reader) ([]configurer.Key, error) {
	var keys []configurer.Key
	writer := csv.NewWriter(file)
	for _, item := range missing {
		for range item.Count {
			key, err := keyer.New(random)
			if err != nil {
				return nil, err
			}
			if err := writer.Write([]string{item.Workspace, key.Reveal()}); err != nil {
				return nil, errors.Wrap(err, "write key file")
			}
			keys = append(keys, configurer.Key{ID: key.ID, Workspace: item.Workspace, Digest: key.Digest()})
		}
	}
	writer.Flush()
	if err := errors.CombineErrors(writer.Error(), file.Sync()); err != nil {
		return nil, errors.Wrap(err, "write key file")
	}
	return keys, errors.Wrap(file.Close(), "close key file")
}

func reuseKeys(path string, missing []planner.MissingKeys, known func(id string) bool) ([]configurer.Key, error) {
	wanted := make(map[string]int)
	total := 0
	for _, item := range missing {
		wanted[item.Workspace] += item.Count
		total += item.Count
	}
	unused, err := readKeys(path, known)
	if err != nil {
		return nil, err
	}
	for _, key := range unused {
		wanted[key.Workspace]--
		if wanted[key.Workspace] < 0 {
			return nil, errors.Newf("key file %s already exists and holds keys that are neither in force nor needed; name a new file",
				path)
		}
	}
	if len(unused) != total {
		return nil, errors.Newf("key file %s already exists and holds %d keys that are not in force, but %d are needed; name a new file",
			path, len(unused), total)
	}
	return unused, nil
}

func readKeys(path string, known func(id string) bool) ([]configurer.Key, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open key file")
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "open key file")
	}
	if !info.Mode().IsRegular() || info.Mode().Perm()&othersMask != 0 {
		return nil, errors.Newf("key file %s is not a regular file, or users other than its owner can access it", path)
	}
	reader := csv.NewReader(file)
	reader.FieldsPerRecord = fieldsPerRow
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	var keys []configurer.Key
	for _, row := range rows {
		key, err := keyer.Parse(row[1])
		if err != nil {
			return nil, errors.Wrap(err, "read key file")
		}
		if !known(key.ID) {
			keys = append(keys, configurer.Key{ID: key.ID, Workspace: row[0], Digest: key.Digest()})
		}
	}
	return keys, nil
}

func syncDirectory(path string) error {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return errors.Wrap(err, "open directory of key file")
	}
	defer func() { _ = directory.Close() }()
	return errors.Wrap(directory.Sync(), "sync directory of key file")
}
