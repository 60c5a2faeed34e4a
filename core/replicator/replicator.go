// Package replicator decides how a few members agree on one log, by the rules of Raft: Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), with pre-vote, check-quorum, one membership change
// at a time and read index from Ongaro's dissertation "Consensus: Bridging Theory and Practice" (Stanford 2014).
//
// It is a pure decision: it reads no clock, starts no goroutine, opens no socket or file and draws no random number by
// itself. A runner hands it inputs and does what its outputs say.
package replicator

import (
	"slices"
	"time"
)

// HeartbeatPeriod is the time between a leader's heartbeats.
const HeartbeatPeriod = 100 * time.Millisecond

// ElectionTimeout is the least time without a leader after which a member stands for election. The most is twice that.
// A leader that hears no quorum for so long steps down.
const ElectionTimeout = time.Second

// Replicator is one member's view of the log. It is immutable: Step returns the next one.
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

// unsyncedSave is a save that is not on disk yet, with the end of the log that it contains.
type unsyncedSave struct {
	sequence  uint64
	lastIndex uint64
}

// heldMessage is a promise that waits for a save.
type heldMessage struct {
	sequence uint64
	message  Message
}

// New returns the member self as a follower, with what it stored. The runner must install the stored snapshot itself.
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

// Leader returns the member that this one follows, or itself if it leads, or nothing.
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

// Leads reports whether this member leads. A leader that was cut off may still believe so for up to ElectionTimeout.
func (r Replicator) Leads() bool { return r.Leader() == r.self }

// Term returns the newest term that this member has seen.
func (r Replicator) Term() uint64 { return r.state.Term }

// Members returns the membership in force.
func (r Replicator) Members() Membership { return r.members }

// Unresponsive returns the members that this one, as the leader, does not hear, with the time from which it did not.
func (r Replicator) Unresponsive(now time.Time) map[Identity]time.Time {
	l, ok := r.role.(*leader)
	if !ok {
		return nil
	}
	silent := make(map[Identity]time.Time)
	for _, member := range r.members.All() {
		if deadline := l.progress[member.Identity].activeUntil; member.Identity != r.self && !now.Before(deadline) {
			silent[member.Identity] = deadline.Add(-ElectionTimeout)
		}
	}
	return silent
}

// CanChangeMembership reports whether this member leads and no change of the membership is under way.
func (r Replicator) CanChangeMembership() bool {
	_, leads := r.role.(*leader)
	return leads && r.membersIndex <= r.commitIndex && r.committedInCurrentTerm()
}

// LastContact returns when this member last was in contact with the leader, or, if it leads, with a quorum.
func (r Replicator) LastContact(now time.Time) time.Time {
	l, leads := r.role.(*leader)
	if !leads {
		return r.leaseDeadline.Add(-ElectionTimeout)
	}
	heard := []time.Time{now}
	for _, member := range r.members.Voters {
		if member.Identity != r.self {
			heard = append(heard, l.progress[member.Identity].activeUntil.Add(-ElectionTimeout))
		}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[min(r.members.quorum(), len(heard))-1]
}

// CommitIndex returns the index up to which entries are known to be committed.
func (r Replicator) CommitIndex() uint64 { return r.commitIndex }

// FirstIndex returns the index of the first entry that is kept.
func (r Replicator) FirstIndex() uint64 {
	if len(r.entries) == 0 {
		return r.snapshot.Position.Index + 1
	}
	return r.entries[0].Position.Index
}

// LastPosition returns the position of the last entry.
func (r Replicator) LastPosition() Position { return r.lastPosition() }
