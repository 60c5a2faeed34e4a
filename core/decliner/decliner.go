// Package decliner remembers which requests targets declined. If such a request is sent to its target again, both answers
// carry the same ID, so a repetition of the first can't be told from the second.
package decliner

import "time"

const (
	// Capacity is the usual limit of the requests that are remembered.
	Capacity = 1 << 14
	// lifetime is how long a request is remembered. It is longer than requests are sent again.
	lifetime = time.Minute
)

// Request is a request at one target. ID is the one that the target's answers carry.
type Request struct {
	Target string
	ID     string
}

// Decliner holds the declined requests, each until its deadline. It is not safe for concurrent use.
type Decliner struct {
	capacity  int
	deadlines map[Request]time.Time
	// forgottenUntil is the deadline of the last request that was not remembered for want of room.
	forgottenUntil time.Time
	// order holds the requests in the order of their deadlines. One that was declined several times appears as often.
	order []entry
}

type entry struct {
	request  Request
	deadline time.Time
}

// New returns a Decliner that holds up to capacity requests.
func New(capacity int) *Decliner {
	return &Decliner{capacity: capacity, deadlines: make(map[Request]time.Time)}
}

// Record remembers that the target declined the request at now.
func (d *Decliner) Record(now time.Time, request Request) {
	d.prune(now)
	deadline := now.Add(lifetime)
	if len(d.order) >= d.capacity {
		d.forgottenUntil = deadline
		return
	}
	d.deadlines[request] = deadline
	d.order = append(d.order, entry{request, deadline})
}

// MayHaveDeclined reports whether the target may have declined the request before now. It is true for every request
// as long as one that was declined may not be remembered for want of room.
func (d *Decliner) MayHaveDeclined(now time.Time, request Request) bool {
	d.prune(now)
	_, ok := d.deadlines[request]
	return ok || !now.After(d.forgottenUntil)
}

func (d *Decliner) prune(now time.Time) {
	for len(d.order) > 0 && now.After(d.order[0].deadline) {
		first := d.order[0]
		d.order = d.order[1:]
		if d.deadlines[first.request].Equal(first.deadline) {
			delete(d.deadlines, first.request)
		}
	}
}
