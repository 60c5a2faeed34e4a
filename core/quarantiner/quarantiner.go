// Package quarantiner recognises requests whose content crashes targets. The content of a request that was running when
// its target crashed is suspect. It is quarantined after a second crash, if nothing else ran on the target during one
// of the two.
package quarantiner

import (
	"slices"
	"time"
)

const (
	// retention is how long a suspicion or a quarantine lasts after the latest crash of the content.
	retention = 10 * time.Minute
	// maxContents bounds the remembered contents. At the bound, a new one replaces the one that expires first.
	maxContents = 4096
)

// Digest identifies the content of a request.
type Digest uint64

// Crash is a crash of a target while it ran a request. ID is unique in the fleet. Alone is set if no other request ran
// on the target.
type Crash struct {
	ID     string
	Digest Digest
	Alone  bool
}

// Verdict states how a request may run. It is Clear, Suspect or Quarantined.
type Verdict interface{ verdict() }

// Clear allows a request to run concurrently with others.
type Clear struct{}

// Suspect allows a request to run only while nothing else runs on the target.
type Suspect struct{}

// Quarantined does not allow a request to run before Until.
type Quarantined struct{ Until time.Time }

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Quarantined) verdict() {}

// suspicion is what is known about the content of a request: the IDs of its crashes and whether one of them was alone.
type suspicion struct {
	crashes []string
	alone   bool
	until   time.Time
}

func (s suspicion) quarantined() bool {
	return s.alone && len(s.crashes) > 1
}

// Quarantiner holds the suspicions by the digest of the content. It is not safe for concurrent use.
type Quarantiner struct {
	suspicions map[Digest]suspicion
}

// New returns a Quarantiner without suspicions.
func New() *Quarantiner {
	return &Quarantiner{suspicions: make(map[Digest]suspicion)}
}

// Check returns how a request whose content has the given digest may run at now.
func (q *Quarantiner) Check(now time.Time, digest Digest) Verdict {
	found, ok := q.suspicions[digest]
	switch {
	case !ok || !now.Before(found.until):
		delete(q.suspicions, digest)
		return Clear{}
	case found.quarantined():
		return Quarantined{Until: found.until}
	default:
		return Suspect{}
	}
}

// Record records a crash at now and reports whether it is new. The order of crashes does not matter: two crashes of the
// same content, one of them alone, quarantine it.
func (q *Quarantiner) Record(now time.Time, crash Crash) bool {
	if _, clear := q.Check(now, crash.Digest).(Clear); clear && len(q.suspicions) >= maxContents {
		q.evictOldest()
	}
	found := q.suspicions[crash.Digest]
	if slices.Contains(found.crashes, crash.ID) {
		return false
	}
	found.alone = found.alone || crash.Alone
	found.crashes = append(slices.Clone(found.crashes), crash.ID)
	found.until = now.Add(retention)
	q.suspicions[crash.Digest] = found
	return true
}

// Crashes returns the crashes that count at now, so that they can be recorded elsewhere.
func (q *Quarantiner) Crashes(now time.Time) []Crash {
	var crashes []Crash
	for digest, found := range q.suspicions {
		if !now.Before(found.until) {
			continue
		}
		for _, id := range found.crashes {
			crashes = append(crashes, Crash{ID: id, Digest: digest, Alone: found.alone})
		}
	}
	return crashes
}

// ClearSuspicion ends the suspicion against a content after a request with it ran alone without a crash. A quarantine
// stays.
func (q *Quarantiner) ClearSuspicion(digest Digest) {
	if !q.suspicions[digest].quarantined() {
		delete(q.suspicions, digest)
	}
}

// evictOldest removes the content that expires first.
func (q *Quarantiner) evictOldest() {
	var oldest Digest
	var oldestUntil time.Time
	for digest, found := range q.suspicions {
		if oldestUntil.IsZero() || found.until.Before(oldestUntil) {
			oldest, oldestUntil = digest, found.until
		}
	}
	delete(q.suspicions, oldest)
}
