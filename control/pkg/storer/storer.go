// Package storer keeps a member's log, term and snapshot in one data folder. Records are checksummed, and count only
// once they are synced. A failed write or sync is final: what the disk holds is not known after it, so that the process
// must end and read the folder again.
package storer

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	newSuffix    = ".new"
)

// Storer writes the saves of one member. It is not safe for concurrent use.
type Storer struct {
	disk    Disk
	log     File
	size    int64
	synced  int64
	failure error
}

// logRecord is what one record of the log holds: a state and entries that replace all earlier ones from the first on. The
// log needs a snapshot of at least index After.
type logRecord struct {
	State   replicator.State   `cbor:"1,keyasint"`
	Entries []replicator.Entry `cbor:"2,keyasint,omitempty"`
	After   uint64             `cbor:"3,keyasint,omitempty"`
}

// Open reads what disk holds for the process called name and makes sure that it is synced. An empty disk takes the
// identity drawn. It cuts a torn tail and returns ErrDamaged if anything that was synced is not whole.
func Open(disk Disk, name string, drawn replicator.Identity) (*Storer, replicator.Identity, replicator.Stored, error) {
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
	// The log is there first, so that an identity without a log shows a loss.
	_, err = replaceFile(disk, identityName, owner{name, drawn})
	return s, drawn, stored, err
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
	payloads, whole, err := readRecords(content)
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
	return s, stored, s.continueLog(whole, int64(len(content)))
}

// continueLog goes on after the log's whole part, which may come from a process that was killed before it synced.
func (s *Storer) continueLog(whole, length int64) error {
	log, err := s.disk.Append(logName)
	if err != nil {
		return err
	}
	if whole < length {
		if err := log.Truncate(whole); err != nil {
			return errors.Wrap(err, "cut torn tail")
		}
	}
	s.log, s.size = log, whole
	return s.Sync()
}

func replay(stored *replicator.Stored, payloads [][]byte) error {
	for _, payload := range payloads {
		var next logRecord
		if err := messenger.Unmarshal(payload, &next); err != nil {
			return errors.CombineErrors(errors.Wrap(ErrDamaged, "a record cannot be read"), err)
		}
		if next.After > stored.Snapshot.Position.Index {
			return errors.Wrapf(ErrDamaged, "the snapshot of entry %d is not there", next.After)
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

// dropCovered drops entries that the snapshot replaces, as a crash leaves them between the two renames of a save, and
// reports whether there were any.
func dropCovered(stored *replicator.Stored) (bool, error) {
	if len(stored.Entries) == 0 {
		return false, nil
	}
	at := stored.Snapshot.Position
	oldest := stored.Entries[0].Position.Index
	if oldest > at.Index+1 {
		return false, errors.Wrapf(ErrDamaged, "no entry stands between %d and %d", at.Index, oldest)
	}
	if oldest == at.Index+1 {
		return false, nil
	}
	if at.Index < oldest+uint64(len(stored.Entries)) && stored.Entries[at.Index-oldest].Position == at {
		return false, nil
	}
	stored.Entries = nil
	return true, nil
}

// Write appends save. It counts only after Sync. A save with a snapshot is synced at once.
func (s *Storer) Write(save replicator.Save) error {
	if s.failure != nil {
		return s.failure
	}
	next := logRecord{State: save.State, Entries: save.Entries}
	if save.Snapshot == nil {
		return s.append(next)
	}
	next.After = save.Snapshot.Position.Index
	// A snapshot must not outlive the term that its entries were written in.
	if err := s.Sync(); err != nil {
		return err
	}
	if err := s.replace(snapshotName, save.Snapshot); err != nil {
		return s.fail(err)
	}
	return s.rewriteLog(next)
}

func (s *Storer) append(next logRecord) error {
	payload, err := messenger.Marshal(next)
	if err != nil {
		return s.fail(err)
	}
	buf := appendRecord(nil, payload, s.synced)
	if _, err := s.log.Write(buf); err != nil {
		return s.fail(errors.Wrap(err, "write log"))
	}
	s.size += int64(len(buf))
	return nil
}

// Sync returns once all writes are on disk.
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

// LogSize returns the size of the log.
func (s *Storer) LogSize() int64 { return s.size }

// Close closes the log without a sync.
func (s *Storer) Close() error {
	return errors.Wrap(s.log.Close(), "close log")
}

func (s *Storer) rewriteLog(whole logRecord) error {
	if err := s.replace(logName, whole); err != nil {
		return s.fail(err)
	}
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

func (s *Storer) fail(err error) error {
	s.failure = errors.Wrap(err, "the data folder failed")
	return s.failure
}
