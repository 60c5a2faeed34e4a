package replicator

// Position identifies a log entry. The zero value is the position before the first entry.
type Position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// Entry is one entry of the log. It carries either application data or the membership that is in force from this entry
// on.
type Entry struct {
	Position Position    `cbor:"1,keyasint"`
	Data     []byte      `cbor:"2,keyasint,omitempty"`
	Members  *Membership `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including Position. Members is the membership in force there.
type Snapshot struct {
	Position Position   `cbor:"1,keyasint"`
	Members  Membership `cbor:"2,keyasint"`
	Data     []byte     `cbor:"3,keyasint,omitempty"`
}

// State is what a member must persist before it answers: its term and the candidate that it voted for in that term.
type State struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote Identity `cbor:"2,keyasint,omitempty"`
}

// Stored is everything that a member keeps across a restart.
type Stored struct {
	State    State
	Snapshot Snapshot
	Entries  []Entry
}
