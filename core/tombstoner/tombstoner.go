// Package tombstoner decides, for the gate that owns some targets, which request identities may still start.
//
// An identity names its latest start on the gate's own clock, so that a tombstone may be forgotten as soon as the
// identity could no longer start anyway. No clock of another process takes part in the decision.
package tombstoner

// GateTime is a point on a gate's clock, in milliseconds since the gate's incarnation began. Readings of two
// incarnations are not comparable.
type GateTime int64

// Bounds of what is remembered.
const (
	// Horizon is how far ahead of the gate's clock an identity may name its latest start.
	Horizon GateTime = 30_000
	// Capacity is the number of identities that are remembered at a time.
	Capacity = 1 << 16
	// bucketSpan is the span of expiry times that are forgotten together.
	bucketSpan GateTime = 1_000
)

// Identity names one attempt to run a request at one incarnation of a gate.
type Identity struct {
	ID          string
	Incarnation uint64
	StartBefore GateTime
}

// State is what a gate knows of an identity. It is Buried, Started, Finished, Refused or Forgotten.
type State interface{ state() }

// Tombstoned states that the identity was not started and never will be.
type Tombstoned struct{}

// Started states that the request went to a target and has no answer yet.
type Started struct{}

// Finished states that the request went to a target, which answered or failed.
type Finished struct{}

// Refused states that the identity was started and given up before a byte went to a target. It will not start again.
type Refused struct{}

// Forgotten states that nothing is known: the identity is of another incarnation, expired, or beyond what can be
// remembered.
type Forgotten struct{}

func (Tombstoned) state() {}
func (Started) state()    {}
func (Finished) state()   {}
func (Refused) state()    {}
func (Forgotten) state()  {}

// Verdict answers the wish to start an identity. Only Go lets it start.
type Verdict string

// The verdicts.
const (
	Go               Verdict = "go"
	Late             Verdict = "late"
	TooFarAhead      Verdict = "too far ahead"
	WrongIncarnation Verdict = "other incarnation"
	Tombstone        Verdict = "tombstone"
	Duplicate        Verdict = "duplicate"
	Full             Verdict = "memory full"
)

// Tombstoner remembers the identities that an incarnation of a gate has met. It is not safe for concurrent use.
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

// Start decides at now whether identity may start, and remembers it as started if so.
func (t *Tombstoner) Start(now GateTime, identity Identity) Verdict {
	t.expire(now)
	if identity.Incarnation != t.incarnation {
		return WrongIncarnation
	}
	if known, ok := t.records[identity.ID]; ok {
		if known.state == (Tombstoned{}) {
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

// Finish records at now that a started identity ended. Ran is false only if no byte of the request went to a target.
func (t *Tombstoner) Finish(now GateTime, id string, ran bool) {
	known, ok := t.records[id]
	if !ok || known.state != (Started{}) {
		return
	}
	if now >= known.startBefore {
		delete(t.records, id)
		return
	}
	known.state = Refused{}
	if ran {
		known.state = Finished{}
	}
	t.records[id] = known
}

// PlaceTombstone makes sure at now that identity will not start from then on, and returns what is known of it.
func (t *Tombstoner) PlaceTombstone(now GateTime, identity Identity) State {
	t.expire(now)
	if identity.Incarnation != t.incarnation {
		return Forgotten{}
	}
	if known, ok := t.records[identity.ID]; ok {
		return known.state
	}
	if now >= identity.StartBefore || identity.StartBefore > now+Horizon || len(t.records) >= t.capacity {
		return Forgotten{}
	}
	t.remember(identity, Tombstoned{})
	return Tombstoned{}
}

// Len returns the number of identities that are remembered.
func (t *Tombstoner) Len() int {
	return len(t.records)
}

func (t *Tombstoner) remember(identity Identity, state State) {
	t.records[identity.ID] = record{state, identity.StartBefore}
	bucket := identity.StartBefore / bucketSpan
	t.buckets[bucket] = append(t.buckets[bucket], identity.ID)
}

// expire forgets the identities whose latest start has passed at now. Those still running are kept until they end.
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

// Running reports whether the identity called id was started and has not ended.
func (t *Tombstoner) Running(id string) bool {
	return t.records[id].state == (Started{})
}
