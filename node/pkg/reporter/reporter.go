// Package reporter holds the record of this node that is reported to control.
package reporter

import (
	"sync"

	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

// Reporter holds the node's record and increments its sequence number with each change.
type Reporter struct {
	changed chan struct{}

	mu   sync.Mutex
	node tracker.Node
}

var _ synchronizer.Reporter = (*Reporter)(nil)

// New returns a Reporter with the initial record node.
func New(node tracker.Node) *Reporter {
	return &Reporter{changed: make(chan struct{}, 1), node: node}
}

// Node returns a copy of the current record.
func (r *Reporter) Node() *tracker.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
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

// SetTargets replaces the targets of this VM in the record.
func (r *Reporter) SetTargets(targets []tracker.Target) {
	r.update(func(node *tracker.Node) { node.Targets = targets })
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
