// Package quarantiner recognises requests whose content crashes targets. What was on a connection that died with its
// target is suspect; a suspect with a second crash, while nothing else ran on the target, is quarantined.
package quarantiner

import (
	"slices"
	"time"
)

const (
	// retention is how long a suspicion and a quarantine last after the crash that caused them.
	retention = 10 * time.Minute
	// maxContents bounds the contents that are remembered. Beyond it the oldest is forgotten.
	maxContents = 4096
)

// Digest identifies the content of a request.
type Digest uint64

// Crash is one crash of a target under a request. ID is unique in the fleet. Alone tells that nothing else ran on the
// target.
type Crash struct {
	ID     string
	Digest Digest
	Alone  bool
}

// Verdict says how a request may run. It is Clear, Suspect or Quarantined.
type Verdict interface{ verdict() }

// Clear lets a request run beside others.
type Clear struct{}

// Suspect lets a request run only while nothing else runs on the target.
type Suspect struct{}

// Quarantined lets a request not run before Until.
type Quarantined struct{ Until time.Time }

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Quarantined) verdict() {}

type suspicion struct {
	crashes []string
	alone   bool
	until   time.Time
}

func (s suspicion) quarantined() bool {
	return s.alone && len(s.crashes) > 1
}

// Quarantiner holds what is known of contents. It is not safe for concurrent use.
type Quarantiner struct {
	suspicions map[Digest]suspicion
}

// New returns a Quarantiner without suspicions.
func New() *Quarantiner {
	return &Quarantiner{suspicions: make(map[Digest]suspicion)}
}

// Check returns how a request of digest may run at now.
func (q *Quarantiner) Check(now time.Time, digest Digest) Verdict {
	known, ok := q.suspicions[digest]
	switch {
	case !ok || !now.Before(known.until):
		delete(q.suspicions, digest)
		return Clear{}
	case known.quarantined():
		return Quarantined{Until: known.until}
	default:
		return Suspect{}
	}
}

// Record takes a crash in at now and reports whether it is news. The order of crashes does not matter: two of a
// content, one of them alone, quarantine it.
func (q *Quarantiner) Record(now time.Time, crash Crash) bool {
	if _, clear := q.Check(now, crash.Digest).(Clear); clear && len(q.suspicions) >= maxContents {
		q.evictOldest()
	}
	known := q.suspicions[crash.Digest]
	if slices.Contains(known.crashes, crash.ID) {
		return false
	}
	known.alone = known.alone || crash.Alone
	known.crashes = append(slices.Clone(known.crashes), crash.ID)
	known.until = now.Add(retention)
	q.suspicions[crash.Digest] = known
	return true
}

// ClearSuspicion ends the suspicion of digest after it ran alone to its end. A quarantine stays.
func (q *Quarantiner) ClearSuspicion(digest Digest) {
	if !q.suspicions[digest].quarantined() {
		delete(q.suspicions, digest)
	}
}

func (q *Quarantiner) evictOldest() {
	var oldest Digest
	var until time.Time
	for digest, known := range q.suspicions {
		if until.IsZero() || known.until.Before(until) {
			oldest, until = digest, known.until
		}
	}
	delete(q.suspicions, oldest)
}
