package replicator

import (
	"math/rand/v2"
	"time"
)

// Input is Tick, Received, Synced, Propose, Read, Replace, Remove, Compact or Found.
type Input interface {
	input()
}

// Tick lets time pass. It must come several times in a HeartbeatPeriod.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// Synced states that all saves up to Sequence are on disk.
type Synced struct{ Sequence uint64 }

// Propose asks to append data. ID is repeated in the output.
type Propose struct {
	ID   uint64
	Data []byte
}

// Read asks for the index that must be applied before a read sees everything accepted so far. ID is repeated in the
// output.
type Read struct{ ID uint64 }

// AddLearner adds learner, which becomes a voter in place of another member when it has caught up. ID is repeated in the
// output.
type AddLearner struct {
	ID      uint64
	Learner Learner
}

// RemoveMember takes a member out without a successor. ID is repeated in the output.
type RemoveMember struct {
	ID     uint64
	Member Identity
}

// Compact replaces the log up to Index, which must be applied, by a snapshot with Data. Of the entries before Index the
// newest stay for members that lag a little: at most KeepEntries with at most KeepBytes.
type Compact struct {
	Index       uint64
	KeepEntries int
	KeepBytes   int
	Data        []byte
}

// Bootstrap gives the first membership of a cluster to one of its members, whose data folders are all empty.
type Bootstrap struct{ Members Membership }

func (Tick) input()         {}
func (Received) input()     {}
func (Synced) input()       {}
func (Propose) input()      {}
func (Read) input()         {}
func (AddLearner) input()   {}
func (RemoveMember) input() {}
func (Compact) input()      {}
func (Bootstrap) input()    {}

// Save is what must be written to disk. Entries replace all stored ones from the first one's index on. With a Snapshot,
// Entries are the whole log that is kept beside it.
type Save struct {
	Sequence uint64
	State    State
	Entries  []Entry
	Snapshot *Snapshot
}

// Appended states where a proposal stands in the log. It is accepted only once an entry of this position is committed.
type Appended struct {
	ID       uint64
	Position Position
}

// ConfirmedRead states that a read may be served when the entries up to Index are applied.
type ConfirmedRead struct {
	ID    uint64
	Index uint64
}

// Output is what the runner must do: send Messages, write Save and report it by Synced, install Install and then apply
// Committed. Refused are the IDs of proposals and reads that this member cannot take now. Reason says why the role
// changed and is empty if it did not.
type Output struct {
	Messages         []Message
	Save             *Save
	Install          *Snapshot
	Committed        []Entry
	Appended         []Appended
	ConfirmedReads   []ConfirmedRead
	Refused          []uint64
	RoleChangeReason string
}

// step is one input being taken: the state to change, with what is needed for it.
type step struct {
	*Replicator

	now             time.Time
	random          *rand.Rand
	output          Output
	messages        []Message
	dirtyFrom       uint64
	snapshotChanged bool
}

// Step takes input at now and returns the next state and what follows from it. Random draws the election timeouts.
func (r Replicator) Step(now time.Time, random *rand.Rand, input Input) (Replicator, Output) {
	before := r.state
	next := r.clone()
	s := &step{Replicator: &next, now: now, random: random}
	// A process that was frozen may learn at this very input that its leadership has ended.
	s.checkQuorum()
	s.handle(input)
	s.deliverCommitted()
	s.save(before)
	s.releaseMessages()
	return next, s.output
}

func (s *step) handle(input Input) {
	switch input := input.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(input.Message)
	case Synced:
		s.handleSynced(input.Sequence)
	case Propose:
		s.propose(input)
	case Read:
		s.read(input.ID)
	case AddLearner:
		s.addLearner(input)
	case RemoveMember:
		s.removeMember(input)
	case Compact:
		s.compact(input)
	case Bootstrap:
		s.bootstrap(input)
	}
}

func (s *step) send(to Identity, body Body) {
	s.sendIn(to, s.state.Term, body)
}

func (s *step) sendIn(to Identity, term uint64, body Body) {
	s.messages = append(s.messages, Message{From: s.self, To: to, Term: term, Body: body})
}

// save hands out what changed in this step.
func (s *step) save(before State) {
	if s.state == before && s.dirtyFrom == 0 && !s.snapshotChanged {
		return
	}
	s.savedSequence++
	save := &Save{Sequence: s.savedSequence, State: s.state}
	switch {
	case s.snapshotChanged:
		snapshot := s.snapshot
		save.Snapshot = &snapshot
		save.Entries = s.entries
	case s.dirtyFrom > 0:
		save.Entries = s.entriesFrom(s.dirtyFrom)
	}
	s.output.Save = save
	s.unsyncedSaves = append(s.unsyncedSaves, unsyncedSave{s.savedSequence, s.lastPosition().Index})
}

// releaseMessages sends the messages of this step, except for promises that are not on disk yet.
func (s *step) releaseMessages() {
	for _, message := range s.messages {
		if needsSync(message.Body) && s.savedSequence > s.syncedSequence {
			s.heldMessages = append(s.heldMessages, heldMessage{s.savedSequence, message})
			continue
		}
		s.output.Messages = append(s.output.Messages, message)
	}
}

// handleSynced counts what is on disk now and sends the promises that waited for it.
func (s *step) handleSynced(sequence uint64) {
	s.syncedSequence = max(s.syncedSequence, sequence)
	for len(s.unsyncedSaves) > 0 && s.unsyncedSaves[0].sequence <= sequence {
		s.durableIndex = s.unsyncedSaves[0].lastIndex
		s.unsyncedSaves = s.unsyncedSaves[1:]
	}
	for len(s.heldMessages) > 0 && s.heldMessages[0].sequence <= sequence {
		s.output.Messages = append(s.output.Messages, s.heldMessages[0].message)
		s.heldMessages = s.heldMessages[1:]
	}
	s.advanceCommit()
}
