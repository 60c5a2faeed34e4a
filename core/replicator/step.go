package replicator

import (
	"math/rand/v2"
	"time"
)

// Input is Tick, Received, Synced, Propose, Read, AddLearner, RemoveMember, Compact or Bootstrap.
type Input interface {
	input()
}

// Tick makes the member check its deadlines. The runner must send it several times per HeartbeatPeriod.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// Synced reports that all saves up to Sequence are on disk.
type Synced struct{ Sequence uint64 }

// Propose asks to append Data to the log. ID is repeated in the output.
type Propose struct {
	ID   uint64
	Data []byte
}

// Read asks for the index up to which entries must be applied before a read sees every change accepted so far. ID is
// repeated in the output.
type Read struct{ ID uint64 }

// AddLearner adds a learner, which becomes a voter when it has caught up, in place of another member if it names one.
// ID is repeated in the output.
type AddLearner struct {
	ID      uint64
	Learner Learner
}

// RemoveMember removes a member without replacement. ID is repeated in the output.
type RemoveMember struct {
	ID     uint64
	Member Identity
}

// Compact replaces the log up to Index, which must be applied, by a snapshot with Data. The newest entries up to Index
// are kept for members that lag a little: at most KeepEntries with at most KeepBytes of data.
type Compact struct {
	Index       uint64
	KeepEntries int
	KeepBytes   int
	Data        []byte
}

// Bootstrap gives the first membership of a cluster to one of its members. The data folders of all members must be
// empty.
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

// Save is what must be written to disk. Entries replace all stored ones from the index of the first of them on. If
// Snapshot is set, Entries are the whole log to keep beside it.
type Save struct {
	Sequence uint64
	State    State
	Entries  []Entry
	Snapshot *Snapshot
}

// Appended is the position of a proposal in the log. The proposal is accepted only when an entry with this position is
// committed.
type Appended struct {
	ID       uint64
	Position Position
}

// ConfirmedRead states that a read may be served as soon as the entries up to Index are applied.
type ConfirmedRead struct {
	ID    uint64
	Index uint64
}

// Output is what the runner must do: send Messages, write Save and report it with Synced, and install Install before it
// applies Committed. Refused holds the IDs of proposals, reads and membership changes that this member cannot handle
// now. RoleChangeReason is empty if the role did not change.
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

// step is the handling of one input: the state to change, the arguments of Step and the output so far. dirtyFrom is the
// index of the first log entry that changed, or 0 if none did.
type step struct {
	*Replicator

	now             time.Time
	random          *rand.Rand
	output          Output
	messages        []Message
	dirtyFrom       uint64
	snapshotChanged bool
}

// Step handles input at now. It returns the next state and what the runner must do. random supplies the election
// timeouts.
func (r Replicator) Step(now time.Time, random *rand.Rand, input Input) (Replicator, Output) {
	before := r.state
	next := r.clone()
	s := &step{Replicator: &next, now: now, random: random}
	// A process that was suspended may have lost its leadership before this input.
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

// save adds the state that changed in this step to the output.
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

// releaseMessages sends the messages of this step, and holds back those that need state which is not on disk yet.
func (s *step) releaseMessages() {
	for _, message := range s.messages {
		if needsSync(message.Body) && s.savedSequence > s.syncedSequence {
			s.heldMessages = append(s.heldMessages, heldMessage{s.savedSequence, message})
			continue
		}
		s.output.Messages = append(s.output.Messages, message)
	}
}

// handleSynced records that the saves up to sequence are on disk, and sends the messages that waited for them.
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
