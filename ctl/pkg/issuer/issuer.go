// Package issuer issues keys and keeps them in a file that only its owner can read.
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
	ownerOnly  = 0o600
	others     = 0o077
	fileFields = 2
)

// Prepare returns the keys that issues ask for, after they were written to a new file at path. If the file is there
// already, as after a lost answer, its keys that known does not hold are taken again, so that a resent sheet issues no
// second set; it is an error if they are not the ones that issues ask for.
func Prepare(path string, issues []planner.MissingKeys, known func(id string) bool, random io.Reader) ([]configurer.Key, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if errors.Is(err, fs.ErrExist) {
		return reuse(path, issues, known)
	}
	if err != nil {
		return nil, errors.Wrap(err, "create key file")
	}
	keys, err := write(file, issues, random)
	if err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return nil, err
	}
	return keys, syncDirectory(path)
}

// write draws the keys and makes sure that the file holds them before any of them is in force.
func write(file *os.File, issues []planner.MissingKeys, random io.Reader) ([]configurer.Key, error) {
	var keys []configurer.Key
	writer := csv.NewWriter(file)
	for _, issue := range issues {
		for range issue.Count {
			key, err := keyer.New(random)
			if err != nil {
				return nil, err
			}
			if err := writer.Write([]string{issue.Workspace, key.Reveal()}); err != nil {
				return nil, errors.Wrap(err, "write key file")
			}
			keys = append(keys, configurer.Key{ID: key.ID, Workspace: issue.Workspace, Digest: key.Digest()})
		}
	}
	writer.Flush()
	if err := errors.CombineErrors(writer.Error(), file.Sync()); err != nil {
		return nil, errors.Wrap(err, "write key file")
	}
	return keys, errors.Wrap(file.Close(), "close key file")
}

func reuse(path string, issues []planner.MissingKeys, known func(id string) bool) ([]configurer.Key, error) {
	wanted := make(map[string]int)
	total := 0
	for _, issue := range issues {
		wanted[issue.Workspace] += issue.Count
		total += issue.Count
	}
	unused, err := read(path, known)
	if err != nil {
		return nil, err
	}
	for _, key := range unused {
		wanted[key.Workspace]--
		if wanted[key.Workspace] < 0 {
			return nil, errors.Newf("key file %s is there already and holds other keys; name a new file", path)
		}
	}
	if len(unused) != total {
		return nil, errors.Newf("key file %s is there already and holds %d keys that are not in force, not %d; name a new file",
			path, len(unused), total)
	}
	return unused, nil
}

func read(path string, known func(id string) bool) ([]configurer.Key, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open key file")
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "open key file")
	}
	if !info.Mode().IsRegular() || info.Mode().Perm()&others != 0 {
		return nil, errors.Newf("key file %s can be read by others than its owner", path)
	}
	reader := csv.NewReader(file)
	reader.FieldsPerRecord = fileFields
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
		return errors.Wrap(err, "sync key file's directory")
	}
	defer func() { _ = directory.Close() }()
	return errors.Wrap(directory.Sync(), "sync key file's directory")
}
