// Package cacher saves the node's knowledge of the fleet on disk, so that a node that restarts while no control
// process is reachable can serve again. A damaged file is ignored, because it is only a cache.
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

// cacheFile is the content of the file. It is stored in CBOR form, preceded by the xxHash64 of that form.
type cacheFile struct {
	Configuration configurer.Snapshot `cbor:"1,keyasint"`
	Nodes         []tracker.Node      `cbor:"2,keyasint"`
	Withdrawn     []string            `cbor:"3,keyasint"`
}

// Cacher saves the state of a Hub to a file in one folder.
type Cacher struct {
	folder           string
	hub              *synchronizer.Hub
	log              *slog.Logger
	savedFingerprint uint64
}

// New returns a Cacher that saves hub in folder, which must exist.
func New(folder string, hub *synchronizer.Hub, log *slog.Logger) *Cacher {
	return &Cacher{folder: folder, hub: hub, log: log}
}

// Load passes the content of the file to sink. It does nothing if the file is missing or damaged.
func (c *Cacher) Load(sink synchronizer.Sink) {
	cache, err := c.read()
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			c.log.Warn("cache ignored", "reason", err)
		}
		return
	}
	configuration, err := configurer.FromSnapshot(cache.Configuration)
	if err != nil {
		c.log.Warn("cache ignored", "reason", err)
		return
	}
	sink.Withdraw(cache.Withdrawn...)
	sink.Install(configuration)
	sink.Merge(cache.Nodes...)
	c.log.Info("cache loaded", "version", configuration.Version(), "nodes", len(cache.Nodes))
}

func (c *Cacher) read() (cacheFile, error) {
	var cache cacheFile
	content, err := os.ReadFile(filepath.Join(c.folder, fileName))
	if err != nil {
		return cache, errors.Wrap(err, "read cache")
	}
	if len(content) < checksumBytes || binary.BigEndian.Uint64(content) != xxhash.Sum64(content[checksumBytes:]) {
		return cache, errors.New("checksum of the cache file does not match")
	}
	return cache, messenger.Unmarshal(content[checksumBytes:], &cache)
}

// Run saves changes at most once a second until ctx ends, and then once more.
func (c *Cacher) Run(ctx context.Context) error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		if err := c.save(); err != nil {
			c.log.Warn("cache not saved", "reason", err)
		}
		select {
		case <-ctx.Done():
			return c.save()
		case <-ticker.C:
		}
	}
}

func (c *Cacher) save() error {
	configuration := c.hub.Configuration()
	cache := cacheFile{Nodes: c.hub.Directory().Nodes(), Withdrawn: c.hub.Withdrawn()}
	current, err := fingerprint(configuration.Version(), cache)
	if err != nil || current == c.savedFingerprint {
		return err
	}
	cache.Configuration = configuration.Snapshot()
	body, err := messenger.Marshal(&cache)
	if err != nil {
		return err
	}
	content := slices.Concat(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body)
	if err := replaceFile(filepath.Join(c.folder, fileName), content); err != nil {
		return err
	}
	c.savedFingerprint = current
	return nil
}

// fingerprint returns a hash that changes with the version or the cache. It is used to detect changes without
// encoding the configuration.
func fingerprint(version uint64, cache cacheFile) (uint64, error) {
	body, err := messenger.Marshal(&cache)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(body, version)), err
}

// replaceFile writes content to a new file, syncs it and renames it to path, so that after a crash either the old or
// the new file is complete.
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
