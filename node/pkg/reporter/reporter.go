// Package reporter keeps the record that a node reports about itself.
package reporter

import (
	"sync"

	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

// Reporter holds a node's record and counts its changes.
type Reporter struct {
	changed chan struct{}

	mu   sync.Mutex
	node tracker.Node
}

var _ synchronizer.Reporter = (*Reporter)(nil)

// New returns a Reporter of node.
func New(node tracker.Node) *Reporter {
	return &Reporter{changed: make(chan struct{}, 1), node: node}
}

// Node returns the current record.
func (r *Reporter) Node() *tracker.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	node := r.node
	return &node
}

// Changes delivers a value after each change.
func (r *Reporter) Changes() <-chan struct{} {
	return r.changed
}

// Connected counts a new connection as a change, so that the record replaces one that was marked as gone meanwhile.
func (r *Reporter) Connected() {
	r.update(func(*tracker.Node) {})
}

// SetTargets replaces the targets beside the node.
func (r *Reporter) SetTargets(targets []tracker.Target) {
	r.update(func(node *tracker.Node) { node.Targets = targets })
}

// Leave announces that the node is stopping.
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
