// Package replicator implements Raft, by which a few members agree on one log: Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (USENIX ATC 2014), with pre-vote, check-quorum, single-server membership changes
// and read index from Ongaro's dissertation "Consensus: Bridging Theory and Practice" (Stanford 2014).
//
// It is a pure state machine: it reads no clock, starts no goroutines, and opens no sockets or files; its random source
// is an argument. A runner feeds it inputs and carries out its outputs.
package replicator

import (
	"slices"
	"time"
)

// HeartbeatPeriod is the interval between a leader's heartbeats.
const HeartbeatPeriod = 100 * time.Millisecond

// ElectionTimeout is the minimum time without contact with a leader after which a member starts an election; the
// maximum is twice as long. A leader that receives no messages from a quorum for ElectionTimeout steps down.
const ElectionTimeout = time.Second

// Replicator is the state of one member. It is immutable: Step returns the next state.
//
// membersIndex is the index of the entry that set members. Until leaseDeadline a follower is in contact with its leader
// and ignores candidates. The log is on disk up to durableIndex; heldMessages wait for a Save to be on disk.
type Replicator struct {
	self         Identity
	state        State
	snapshot     Snapshot
	entries      []Entry
	commitIndex  uint64
	appliedIndex uint64
	role         role

	members      Membership
	membersIndex uint64

	electionDeadline time.Time
	leaseDeadline    time.Time

	savedSequence  uint64
	syncedSequence uint64
	durableIndex   uint64
	unsyncedSaves  []unsyncedSave
	heldMessages   []heldMessage
}

// unsyncedSave is a Save that is not on disk yet. lastIndex is the index of the last log entry that is on disk after
// it.
type unsyncedSave struct {
	sequence  uint64
	lastIndex uint64
}

// heldMessage is a message that may be sent only when the Save with sequence is on disk.
type heldMessage struct {
	sequence uint64
	message  Message
}

// New returns the member self as a follower with its stored state. The runner must install the stored snapshot itself.
func New(self Identity, stored Stored, now time.Time) Replicator {
	r := Replicator{
		self: self, state: stored.State, snapshot: stored.Snapshot, entries: stored.Entries,
		commitIndex: stored.Snapshot.Position.Index, appliedIndex: stored.Snapshot.Position.Index, role: follower{},
		electionDeadline: now.Add(ElectionTimeout),
	}
	r.durableIndex = r.lastPosition().Index
	r.refreshMembers()
	return r
}

func (r Replicator) clone() Replicator {
	r.entries = slices.Clip(r.entries)
	r.unsyncedSaves = slices.Clone(r.unsyncedSaves)
	r.heldMessages = slices.Clip(r.heldMessages)
	r.role = r.role.clone()
	return r
}

// Leader returns the leader that this member follows, or itself if it leads, or "" if no leader is known.
func (r Replicator) Leader() Identity {
	switch role := r.role.(type) {
	case follower:
		return role.leader
	case *leader:
		return r.self
	case *candidate:
	}
	return ""
}

// Leads reports whether this member leads. A leader that is partitioned from the others may still report true for up to
// ElectionTimeout.
func (r Replicator) Leads() bool { return r.Leader() == r.self }

// Term returns the highest term that this member has seen.
func (r Replicator) Term() uint64 { return r.state.Term }

// Members returns the membership in force.
func (r Replicator) Members() Membership { return r.members }

// Unresponsive returns the members that this one, as the leader, has not received a message from within
// ElectionTimeout, with the time of their last contact. It returns nil if this member does not lead.
func (r Replicator) Unresponsive(now time.Time) map[Identity]time.Time {
	l, ok := r.role.(*leader)
	if !ok {
		return nil
	}
	unresponsive := make(map[Identity]time.Time)
	for _, member := range r.members.All() {
		if deadline := l.progress[member.Identity].activeUntil; member.Identity != r.self && !now.Before(deadline) {
			unresponsive[member.Identity] = deadline.Add(-ElectionTimeout)
		}
	}
	return unresponsive
}

// CanChangeMembership reports whether this member leads, no change of the membership is in progress, and an entry of
// the current term is committed.
func (r Replicator) CanChangeMembership() bool {
	_, leads := r.role.(*leader)
	return leads && r.membersIndex <= r.commitIndex && r.committedInCurrentTerm()
}

// LastContact returns when this member was last in contact with the leader or, if it leads, with a quorum.
func (r Replicator) LastContact(now time.Time) time.Time {
	l, leads := r.role.(*leader)
	if !leads {
		return r.leaseDeadline.Add(-ElectionTimeout)
	}
	contacts := []time.Time{now}
	for _, member := range r.members.Voters {
		if member.Identity != r.self {
			contacts = append(contacts, l.progress[member.Identity].activeUntil.Add(-ElectionTimeout))
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[min(r.members.quorum(), len(contacts))-1]
}

// CommitIndex returns the index of the last entry that is known to be committed.
func (r Replicator) CommitIndex() uint64 { return r.commitIndex }

// FirstIndex returns the index of the first entry that is still in the log.
func (r Replicator) FirstIndex() uint64 {
	if len(r.entries) == 0 {
		return r.snapshot.Position.Index + 1
	}
	return r.entries[0].Position.Index
}

// LastPosition returns the position of the last entry.
func (r Replicator) LastPosition() Position { return r.lastPosition() }
