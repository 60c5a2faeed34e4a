package bounder

import (
	"cmp"
	"slices"
	"time"
)

// minWait is how long a connection must have waited for its client before it is closed to make room for others. A client that
// sends or reads takes a round trip, 6 ms for the users' callers and 40 ms from one region to another. It is short, because nobody
// can connect while all connections of a crowd are younger.
const minWait = 50 * time.Millisecond

// keptIdle is the time after its last answer in which an idle connection is closed only if nothing else is left. The users' clients
// use a connection again that was idle for up to 12 s.
const keptIdle = 13 * time.Second

// Holder is what one connection holds, and what its client does. Waited is how long the process has been waiting for the client to
// send or to read, and Recent the bytes that were sent or read in the last one to two seconds. Idle is set between two requests.
type Holder struct {
	Memory int64
	Recent int64
	Waited time.Duration
	Idle   bool
}

// Choose returns the indices of the holders to close so that at least memory bytes and connections are freed, or as far as that is
// possible. Those that make least progress for what they hold come first, and connections that were idle for a short time last.
// A holder that the process does not wait for is not chosen: its request is being handled.
//
// The function is designed for crowds of clients that stop half-way. Refusing whoever comes last instead would refuse ordinary
// callers for as long as the crowd stays.
func Choose(holders []Holder, memory int64, connections int) []int {
	if memory <= 0 && connections <= 0 {
		return nil
	}
	var order []int
	for i, holder := range holders {
		if holder.Waited >= minWait {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int { return compare(holders[i], holders[j]) })
	for n, i := range order {
		if memory <= 0 && connections <= 0 {
			return order[:n]
		}
		memory -= holders[i].Memory
		connections--
	}
	return order
}

// compare orders holders by who is closed first.
func compare(a, b Holder) int {
	if first := cmp.Compare(a.rank(), b.rank()); first != 0 {
		return first
	}
	// Recent/Memory, without a division.
	if first := cmp.Compare(a.Recent*b.Memory, b.Recent*a.Memory); first != 0 {
		return first
	}
	return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(b.Waited, a.Waited))
}

func (h Holder) rank() int {
	if h.Idle && h.Waited < keptIdle {
		return 1
	}
	return 0
}
