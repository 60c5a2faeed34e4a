// Package reporter holds the record of this node that is reported to control.
package reporter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

// Reporter holds the node's record and increments its sequence number with each change. It also holds the departures that
// other processes have of this node.
type Reporter struct {
	changed      chan struct{}
	inheritUntil time.Time

	mu       sync.Mutex
	node     tracker.Node
	stored   []tracker.Departure
	received chan struct{}
}

var _ synchronizer.Reporter = (*Reporter)(nil)

// New returns a Reporter with the initial record node. Until inheritUntil the record inherits the departures that earlier
// incarnations of the node have reported.
func New(node tracker.Node, inheritUntil time.Time) *Reporter {
	node.Inherits = true
	return &Reporter{changed: make(chan struct{}, 1), inheritUntil: inheritUntil, node: node, received: make(chan struct{})}
}

// Node returns a copy of the current record.
func (r *Reporter) Node() *tracker.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node.Inherits && !time.Now().Before(r.inheritUntil) {
		r.node.Inherits = false
		r.node.Sequence++
	}
	node := r.node
	return &node
}

// Changes returns a channel that receives a value after a change. Changes that follow each other quickly may be
// merged into one value.
func (r *Reporter) Changes() <-chan struct{} {
	return r.changed
}

// Connected increments the sequence number for a new connection, so that the record replaces one that control has
// marked as gone in the meantime.
func (r *Reporter) Connected() {
	r.update(func(*tracker.Node) {})
}

// Refute increments the sequence number if received is the present record of this node, but marked as gone. It reports whether
// it did.
func (r *Reporter) Refute(received tracker.Node) bool {
	current := r.Node()
	if !received.Gone || received.Incarnation != current.Incarnation || received.Sequence < current.Sequence {
		return false
	}
	r.update(func(*tracker.Node) {})
	return true
}

// RaiseIncarnation replaces the incarnation in the record by a later one.
func (r *Reporter) RaiseIncarnation(incarnation uint64) {
	r.update(func(node *tracker.Node) { node.Incarnation = max(node.Incarnation, incarnation) })
}

// SetTargets replaces the targets and the departures of this VM in the record.
func (r *Reporter) SetTargets(targets []tracker.Target, departures []tracker.Departure) {
	r.update(func(node *tracker.Node) { node.Targets, node.Departures = targets, departures })
}

// Leave marks the node as leaving the directory.
func (r *Reporter) Leave() {
	r.update(func(node *tracker.Node) { node.Leaving = true })
}

func (r *Reporter) update(change func(*tracker.Node)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.node)
	r.node.Sequence++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// RecordReceived records departures of this node that were received from another process.
func (r *Reporter) RecordReceived(departures []tracker.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = departures
	close(r.received)
	r.received = make(chan struct{})
}

// AwaitStored waits until another process holds departure. It returns an error if ctx ends before.
func (r *Reporter) AwaitStored(ctx context.Context, departure tracker.Departure) error {
	for {
		r.mu.Lock()
		stored, received := r.stored, r.received
		r.mu.Unlock()
		if slices.ContainsFunc(stored, func(d tracker.Departure) bool { return d.Target == departure.Target && d.Includes(departure) }) {
			return nil
		}
		select {
		case <-received:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "no other process has the departure")
		}
	}
}
