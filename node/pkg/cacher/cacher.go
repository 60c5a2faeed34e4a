// Package cacher keeps what a node knows of the fleet on its disk, so that a node which restarts while no control
// process answers can serve again. The file is a cache: what is damaged is ignored.
package cacher

import (
	"context"
	"encoding/binary"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

const (
	fileName      = "fleet.cache"
	saveInterval  = time.Second
	checksumBytes = 8
	filePerm      = 0o600
)

// cacheFile is what the file holds behind the xxHash64 of its CBOR form.
type cacheFile struct {
	Configuration configurer.Snapshot `cbor:"1,keyasint"`
	Nodes         []tracker.Node      `cbor:"2,keyasint"`
	Withdrawn     []string            `cbor:"3,keyasint"`
}

// Cacher saves the state of a Hub in one folder.
type Cacher struct {
	folder           string
	hub              *synchronizer.Hub
	log              *slog.Logger
	savedFingerprint uint64
}

// New returns a Keeper that saves hub in folder, which must exist.
func New(folder string, hub *synchronizer.Hub, log *slog.Logger) *Cacher {
	return &Cacher{folder: folder, hub: hub, log: log}
}

// Load gives what the file holds to sink. A file that is not there or not whole is the same as none.
func (k *Cacher) Load(sink synchronizer.Sink) {
	cache, err := k.read()
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			k.log.Warn("cache ignored", "reason", err)
		}
		return
	}
	configuration, err := configurer.FromSnapshot(cache.Configuration)
	if err != nil {
		k.log.Warn("cache ignored", "reason", err)
		return
	}
	sink.Withdraw(cache.Withdrawn...)
	sink.Install(configuration)
	sink.Merge(cache.Nodes...)
	k.log.Info("cache loaded", "version", configuration.Version(), "nodes", len(cache.Nodes))
}

func (k *Cacher) read() (cacheFile, error) {
	var cache cacheFile
	content, err := os.ReadFile(filepath.Join(k.folder, fileName))
	if err != nil {
		return cache, errors.Wrap(err, "read cache")
	}
	if len(content) < checksumBytes || binary.BigEndian.Uint64(content) != xxhash.Sum64(content[checksumBytes:]) {
		return cache, errors.New("checksum differs")
	}
	return cache, messenger.Unmarshal(content[checksumBytes:], &cache)
}

// Run saves changes until ctx ends, at most one a second, and once more at its end.
func (k *Cacher) Run(ctx context.Context) error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		if err := k.save(); err != nil {
			k.log.Warn("cache not saved", "reason", err)
		}
		select {
		case <-ctx.Done():
			return k.save()
		case <-ticker.C:
		}
	}
}

func (k *Cacher) save() error {
	configuration := k.hub.Configuration()
	cache := cacheFile{Nodes: k.hub.Directory().Nodes(), Withdrawn: k.hub.Withdrawn()}
	stamp, err := fingerprint(configuration.Version(), cache)
	if err != nil || stamp == k.savedFingerprint {
		return err
	}
	cache.Configuration = configuration.Snapshot()
	body, err := messenger.Marshal(&cache)
	if err != nil {
		return err
	}
	content := slices.Concat(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body)
	if err := replaceFile(filepath.Join(k.folder, fileName), content); err != nil {
		return err
	}
	k.savedFingerprint = stamp
	return nil
}

// fingerprint tells whether anything changed without encoding the configuration.
func fingerprint(version uint64, cache cacheFile) (uint64, error) {
	body, err := messenger.Marshal(&cache)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(body, version)), err
}

// replaceFile writes a new file beside the old one, syncs it and renames it, so that a crash leaves one of the two whole.
func replaceFile(path string, content []byte) error {
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "create cache")
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "write cache")
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace cache")
}
