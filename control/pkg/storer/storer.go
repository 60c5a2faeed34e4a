// Package storer persists the log, the term and the snapshot of a member in one data folder. Records are checksummed, and
// durable only once they are synced. A failed write or sync is final: what the disk holds is unknown after it, so the
// process must exit and read the folder again at its next start. A write for which the disk has no room is not: it changes
// nothing and may be repeated.
package storer

import (
	"io/fs"
	"syscall"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	newSuffix    = ".new"
)

// ErrFull is returned by Write if the disk has no room.
var ErrFull = errors.New("the disk is full")

// Storer writes the saves of one member. size is the length of the log and synced the part of it that was synced, in
// bytes. failure is the error of the write or sync that failed. torn is set if the log may end with a part of a record. A
// Storer is not safe for concurrent use.
type Storer struct {
	disk    Disk
	log     File
	size    int64
	synced  int64
	failure error
	torn    bool
}

// logRecord is the payload of one record of the log. Entries replace the entries of earlier records that have the index of
// the first of Entries or a higher one. After is the index of the snapshot that the log continues from; the stored
// snapshot must not be older.
type logRecord struct {
	State   replicator.State   `cbor:"1,keyasint"`
	Entries []replicator.Entry `cbor:"2,keyasint,omitempty"`
	After   uint64             `cbor:"3,keyasint,omitempty"`
}

// Open loads the state of the process called name from disk, and syncs it. An empty disk is assigned newIdentity. Open
// truncates a torn tail of the log, and returns ErrDamaged if anything that was synced is missing or invalid.
func Open(disk Disk, name string, newIdentity replicator.Identity) (*Storer, replicator.Identity, replicator.Stored, error) {
	identity, found, err := loadIdentity(disk, name)
	if err != nil {
		return nil, "", replicator.Stored{}, err
	}
	s, stored, err := openLog(disk, found)
	if err != nil {
		return nil, "", stored, err
	}
	if found {
		return s, identity, stored, nil
	}
	if stored.State.Term > 0 || stored.Snapshot.Position.Index > 0 || len(stored.Entries) > 0 {
		return nil, "", stored, errors.Wrap(ErrDamaged, "there is a log but no identity")
	}
	// The log is created before the identity, so that an identity without a log means that the log was lost.
	_, err = replaceFile(disk, identityName, owner{name, newIdentity})
	return s, newIdentity, stored, err
}

func openLog(disk Disk, expected bool) (*Storer, replicator.Stored, error) {
	var stored replicator.Stored
	if _, err := readFile(disk, snapshotName, &stored.Snapshot); err != nil {
		return nil, stored, err
	}
	content, err := disk.Read(logName)
	missing := errors.Is(err, fs.ErrNotExist)
	if err != nil && !missing {
		return nil, stored, err
	}
	if missing && expected {
		return nil, stored, errors.Wrap(ErrDamaged, "there is an identity but no log")
	}
	payloads, validBytes, err := readRecords(content)
	if err != nil {
		return nil, stored, errors.Wrap(err, logName)
	}
	if err := replay(&stored, payloads); err != nil {
		return nil, stored, err
	}
	covered, err := dropCovered(&stored)
	if err != nil {
		return nil, stored, err
	}
	s := &Storer{disk: disk}
	if covered || missing {
		return s, stored, s.rewriteLog(logRecord{stored.State, stored.Entries, stored.Snapshot.Position.Index})
	}
	return s, stored, s.continueLog(validBytes, int64(len(content)))
}

// continueLog opens the log to append after its valid records, truncates the rest and syncs it, since the previous
// incarnation may have been killed before it synced.
func (s *Storer) continueLog(validBytes, length int64) error {
	log, err := s.disk.Append(logName)
	if err != nil {
		return err
	}
	if validBytes < length {
		if err := log.Truncate(validBytes); err != nil {
			return errors.Wrap(err, "truncate torn tail")
		}
	}
	s.log, s.size = log, validBytes
	return s.Sync()
}

// replay applies the records of the log to stored, in their order.
func replay(stored *replicator.Stored, payloads [][]byte) error {
	for _, payload := range payloads {
		var next logRecord
		if err := messenger.Unmarshal(payload, &next); err != nil {
			return errors.CombineErrors(errors.Wrap(ErrDamaged, "a record cannot be decoded"), err)
		}
		if next.After > stored.Snapshot.Position.Index {
			return errors.Wrapf(ErrDamaged, "the snapshot of entry %d, which the log continues from, is missing", next.After)
		}
		stored.State = next.State
		if len(next.Entries) == 0 {
			continue
		}
		first := next.Entries[0].Position.Index
		if len(stored.Entries) == 0 {
			stored.Entries = next.Entries
			continue
		}
		oldest := stored.Entries[0].Position.Index
		if first < oldest || first > oldest+uint64(len(stored.Entries)) {
			return errors.Wrapf(ErrDamaged, "entry %d does not follow the log", first)
		}
		stored.Entries = append(stored.Entries[:first-oldest], next.Entries...)
	}
	return nil
}

// dropCovered drops the entries if the snapshot replaces all of them, and reports whether it did: the snapshot is newer
// than the last entry, or the entry at its index has another term. A save renames first the new snapshot, then the new log;
// a crash between the two leaves such entries.
func dropCovered(stored *replicator.Stored) (bool, error) {
	if len(stored.Entries) == 0 {
		return false, nil
	}
	position := stored.Snapshot.Position
	oldest := stored.Entries[0].Position.Index
	if oldest > position.Index+1 {
		return false, errors.Wrapf(ErrDamaged, "the entries between the snapshot at %d and the log from %d are missing", position.Index, oldest)
	}
	if oldest == position.Index+1 {
		return false, nil
	}
	if position.Index < oldest+uint64(len(stored.Entries)) && stored.Entries[position.Index-oldest].Position == position {
		return false, nil
	}
	stored.Entries = nil
	return true, nil
}

// Write appends save to the log. It is durable only after Sync. A save with a snapshot replaces snapshot and log, and is
// durable when Write returns.
func (s *Storer) Write(save replicator.Save) error {
	if s.failure != nil {
		return s.failure
	}
	next := logRecord{State: save.State, Entries: save.Entries}
	if save.Snapshot == nil {
		return s.append(next)
	}
	next.After = save.Snapshot.Position.Index
	// The log is synced first, so that a crash cannot leave the new snapshot without the term of its entries.
	if err := s.Sync(); err != nil {
		return err
	}
	if err := s.replace(snapshotName, save.Snapshot); err != nil {
		return s.failUnlessFull(err)
	}
	return s.rewriteLog(next)
}

func (s *Storer) append(next logRecord) error {
	payload, err := messenger.Marshal(next)
	if err != nil {
		return s.fail(err)
	}
	if s.torn {
		if err := s.log.Truncate(s.size); err != nil {
			return s.failUnlessFull(errors.Wrap(err, "truncate log"))
		}
		s.torn = false
	}
	buf := appendRecord(nil, payload, s.synced)
	if _, err := s.log.Write(buf); err != nil {
		s.torn = true
		return s.failUnlessFull(errors.Wrap(err, "write log"))
	}
	s.size += int64(len(buf))
	return nil
}

// Sync returns once everything written is on disk.
func (s *Storer) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.log.Sync(); err != nil {
		return s.fail(errors.Wrap(err, "sync log"))
	}
	s.synced = s.size
	return nil
}

// LogSize returns the size of the log in bytes.
func (s *Storer) LogSize() int64 { return s.size }

// Close closes the log without syncing it.
func (s *Storer) Close() error {
	return errors.Wrap(s.log.Close(), "close log")
}

func (s *Storer) rewriteLog(contents logRecord) error {
	if err := s.replace(logName, contents); err != nil {
		return s.failUnlessFull(err)
	}
	s.torn = false
	if s.log != nil {
		_ = s.log.Close()
	}
	log, err := s.disk.Append(logName)
	if err != nil {
		return s.fail(err)
	}
	s.log = log
	return nil
}

// failUnlessFull returns ErrFull if err says that the disk has no room. Any other error is final.
func (s *Storer) failUnlessFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return errors.CombineErrors(ErrFull, err)
	}
	return s.fail(err)
}

// fail makes err final: all later writes and syncs return it.
func (s *Storer) fail(err error) error {
	s.failure = errors.Wrap(err, "the data folder failed")
	return s.failure
}
