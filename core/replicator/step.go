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

// Replace adds learner, which becomes a voter in place of another member when it has caught up. ID is repeated in the
// output.
type Replace struct {
	ID      uint64
	Learner Learner
}

// Remove takes a member out without a successor. ID is repeated in the output.
type Remove struct {
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

// Found gives the first membership of a cluster to one of its members, whose data folders are all empty.
type Found struct{ Members Membership }

func (Tick) input()     {}
func (Received) input() {}
func (Synced) input()   {}
func (Propose) input()  {}
func (Read) input()     {}
func (Replace) input()  {}
func (Remove) input()   {}
func (Compact) input()  {}
func (Found) input()    {}

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

// Confirmed states that a read may be served when the entries up to Index are applied.
type Confirmed struct {
	ID    uint64
	Index uint64
}

// Output is what the runner must do: send Messages, write Save and report it by Synced, install Install and then apply
// Committed. Refused are the IDs of proposals and reads that this member cannot take now. Reason says why the role
// changed and is empty if it did not.
type Output struct {
	Messages  []Message
	Save      *Save
	Install   *Snapshot
	Committed []Entry
	Appended  []Appended
	Confirmed []Confirmed
	Refused   []uint64
	Reason    string
}

// step is one input being taken: the state to change, with what is needed for it.
type step struct {
	*Replicator

	now         time.Time
	random      *rand.Rand
	output      Output
	messages    []Message
	dirtyFrom   uint64
	snapshotted bool
}

// Step takes input at now and returns the next state and what follows from it. Random draws the election timeouts.
func (r Replicator) Step(now time.Time, random *rand.Rand, input Input) (Replicator, Output) {
	before := r.state
	next := r.clone()
	s := &step{Replicator: &next, now: now, random: random}
	// A process that was frozen may learn at this very input that its leadership has ended.
	s.checkQuorum()
	s.take(input)
	s.commitDeliver()
	s.save(before)
	s.release()
	return next, s.output
}

func (s *step) take(input Input) {
	switch input := input.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(input.Message)
	case Synced:
		s.sync(input.Sequence)
	case Propose:
		s.propose(input)
	case Read:
		s.read(input.ID)
	case Replace:
		s.replace(input)
	case Remove:
		s.remove(input)
	case Compact:
		s.compact(input)
	case Found:
		s.found(input)
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
	if s.state == before && s.dirtyFrom == 0 && !s.snapshotted {
		return
	}
	s.saved++
	save := &Save{Sequence: s.saved, State: s.state}
	switch {
	case s.snapshotted:
		snapshot := s.snapshot
		save.Snapshot = &snapshot
		save.Entries = s.entries
	case s.dirtyFrom > 0:
		save.Entries = s.from(s.dirtyFrom)
	}
	s.output.Save = save
	s.unsynced = append(s.unsynced, unsyncedSave{s.saved, s.lastPosition().Index})
}

// release sends the messages of this step, except for promises that are not on disk yet.
func (s *step) release() {
	for _, message := range s.messages {
		if promises(message.Body) && s.saved > s.synced {
			s.held = append(s.held, heldMessage{s.saved, message})
			continue
		}
		s.output.Messages = append(s.output.Messages, message)
	}
}

// sync counts what is on disk now and sends the promises that waited for it.
func (s *step) sync(sequence uint64) {
	s.synced = max(s.synced, sequence)
	for len(s.unsynced) > 0 && s.unsynced[0].sequence <= sequence {
		s.durable = s.unsynced[0].last
		s.unsynced = s.unsynced[1:]
	}
	for len(s.held) > 0 && s.held[0].sequence <= sequence {
		s.output.Messages = append(s.output.Messages, s.held[0].message)
		s.held = s.held[1:]
	}
	s.commitQuorum()
}
