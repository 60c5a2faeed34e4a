// Package tombstoner decides, for the gate in front of some targets, which attempts to run a request may still start.
// An entry that gets no answer asks the gate for a tombstone on the identity of the attempt. The tombstone prevents a
// later start, so the entry can tell whether the request was run.
//
// An identity names its latest start on the gate's own clock, so a tombstone need not be kept beyond that time. The
// decision uses no clock of another process.
package tombstoner

// GateTime is a time on a gate's clock, in milliseconds since the start of the gate's incarnation. Times of different
// incarnations are not comparable.
type GateTime int64

// Bounds of the identities that a gate remembers.
const (
	// Horizon bounds how far the latest start of an identity may be ahead of the gate's clock.
	Horizon GateTime = 30_000
	// Capacity is the number of identities that a gate remembers at a time.
	Capacity = 1 << 16
	// bucketSpan is the range of expiry times whose identities are removed together.
	bucketSpan GateTime = 1_000
)

// Identity identifies one attempt to run a request at one incarnation of a gate. The attempt may start only before
// StartBefore.
type Identity struct {
	ID          string
	Incarnation uint64
	StartBefore GateTime
}

// State is what a gate knows about an identity. It is Tombstoned, Started, Finished, Refused, Forgotten, Waiting or Unseen.
type State interface{ state() }

// Tombstoned means that the identity has a tombstone: it was not started and never will be.
type Tombstoned struct{}

// Started means that the request was forwarded to a target and has not ended yet.
type Started struct{}

// Finished means that the request was forwarded to a target, which answered or failed.
type Finished struct{}

// Refused means that the identity was started but ended before any byte was sent to a target. It will not start again.
type Refused struct{}

// Forgotten means that the gate knows nothing: the identity is of another incarnation, it has expired or is too far
// ahead, or the memory is full.
type Forgotten struct{}

// Waiting means that the request has arrived and was not started yet.
type Waiting struct{}

// Unseen means that the request has not arrived, and may still be started when it does.
type Unseen struct{}

func (Waiting) state()    {}
func (Unseen) state()     {}
func (Tombstoned) state() {}
func (Started) state()    {}
func (Finished) state()   {}
func (Refused) state()    {}
func (Forgotten) state()  {}

// Verdict is the answer to the question whether an identity may start. Only Go allows it.
type Verdict string

// The verdicts. Late means that the latest start has passed, TooFarAhead that it is beyond the horizon, Duplicate that
// the identity has started before, and Full that no more identities can be remembered.
const (
	Go               Verdict = "go"
	Late             Verdict = "late"
	TooFarAhead      Verdict = "too far ahead"
	WrongIncarnation Verdict = "other incarnation"
	Tombstone        Verdict = "tombstone"
	Duplicate        Verdict = "duplicate"
	Full             Verdict = "memory full"
)

// Tombstoner remembers the identities that one incarnation of a gate has received. It is not safe for concurrent use.
type Tombstoner struct {
	incarnation uint64
	capacity    int
	records     map[string]record
	buckets     map[GateTime][]string
	oldest      GateTime
}

type record struct {
	state       State
	startBefore GateTime
}

// New returns a Tombstoner for one incarnation that remembers at most capacity identities.
func New(incarnation uint64, capacity int) *Tombstoner {
	return &Tombstoner{
		incarnation: incarnation, capacity: capacity,
		records: make(map[string]record), buckets: make(map[GateTime][]string),
	}
}

// Incarnation returns the incarnation of the identities that may start.
func (t *Tombstoner) Incarnation() uint64 { return t.incarnation }

// Raise replaces the incarnation by a later one. Identities of the previous one are Forgotten from now on, so nothing is
// promised about those that have started.
func (t *Tombstoner) Raise(incarnation uint64) { t.incarnation = max(t.incarnation, incarnation) }

// Start decides at now whether identity may start. If so, it records the identity as started.
func (t *Tombstoner) Start(now GateTime, identity Identity) Verdict {
	t.expire(now)
	if identity.Incarnation != t.incarnation {
		return WrongIncarnation
	}
	if found, ok := t.records[identity.ID]; ok {
		if found.state == (Tombstoned{}) {
			return Tombstone
		}
		return Duplicate
	}
	switch {
	case now >= identity.StartBefore:
		return Late
	case identity.StartBefore > now+Horizon:
		return TooFarAhead
	case len(t.records) >= t.capacity:
		return Full
	}
	t.remember(identity, Started{})
	return Go
}

// Finish records at now that a started identity has ended. The flag ran may be false only if no byte of the request was
// sent to a target.
func (t *Tombstoner) Finish(now GateTime, id string, ran bool) {
	found, ok := t.records[id]
	if !ok || found.state != (Started{}) {
		return
	}
	if now >= found.startBefore {
		delete(t.records, id)
		return
	}
	found.state = Refused{}
	if ran {
		found.state = Finished{}
	}
	t.records[id] = found
}

// PlaceTombstone returns what is known about identity at now. An identity that has not started, but still could,
// gets a tombstone if the memory is not full. The result Forgotten guarantees nothing about a later start.
func (t *Tombstoner) PlaceTombstone(now GateTime, identity Identity) State {
	t.expire(now)
	if identity.Incarnation != t.incarnation {
		return Forgotten{}
	}
	if found, ok := t.records[identity.ID]; ok {
		return found.state
	}
	if now >= identity.StartBefore || identity.StartBefore > now+Horizon || len(t.records) >= t.capacity {
		return Forgotten{}
	}
	t.remember(identity, Tombstoned{})
	return Tombstoned{}
}

// Look returns what is known about identity at now, and changes nothing. An identity whose latest start has passed is
// Finished if it is not known any more. The result Forgotten means that it is of another incarnation.
func (t *Tombstoner) Look(now GateTime, identity Identity) State {
	if identity.Incarnation != t.incarnation {
		return Forgotten{}
	}
	if found, ok := t.records[identity.ID]; ok {
		return found.state
	}
	if now >= identity.StartBefore {
		return Finished{}
	}
	return Unseen{}
}

// Len returns the number of remembered identities.
func (t *Tombstoner) Len() int {
	return len(t.records)
}

func (t *Tombstoner) remember(identity Identity, state State) {
	t.records[identity.ID] = record{state, identity.StartBefore}
	bucket := identity.StartBefore / bucketSpan
	t.buckets[bucket] = append(t.buckets[bucket], identity.ID)
}

// expire removes the identities whose latest start has passed at now. Those still running are kept until they end.
func (t *Tombstoner) expire(now GateTime) {
	for ; t.oldest < now/bucketSpan; t.oldest++ {
		for _, id := range t.buckets[t.oldest] {
			if t.records[id].state != (Started{}) {
				delete(t.records, id)
			}
		}
		delete(t.buckets, t.oldest)
	}
}

// Running reports whether the identity with the given ID was started and has not ended.
func (t *Tombstoner) Running(id string) bool {
	return t.records[id].state == (Started{})
}
