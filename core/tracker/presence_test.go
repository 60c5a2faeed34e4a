package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/tracker"
)

const lifetime = 3 * time.Second

// publisher is a control process. While it is cut, it neither hears of other publishers nor is heard by them. While it is frozen,
// it does nothing.
type publisher struct {
	directory tracker.Directory
	presence  *tracker.Presence
	cut       bool
	frozen    bool
}

// reportingNode is a node that reports to the publisher number at, or to none if it is down.
type reportingNode struct {
	record tracker.Node
	at     int
	down   bool
	// reported is the publisher that has received its last report. It is orphaned if that has restarted since, so that nobody
	// awaits the next report.
	reported int
	orphaned bool
}

// publishing is a fleet of publishers and nodes.
type publishing struct {
	now        time.Time
	publishers []*publisher
	nodes      []*reportingNode
}

func newPublishing() *publishing {
	f := &publishing{now: time.Unix(1000, 0)}
	for range 3 {
		f.publishers = append(f.publishers, &publisher{presence: tracker.NewPresence()})
	}
	for i := range 2 {
		f.nodes = append(f.nodes, &reportingNode{record: tracker.Node{
			Name: fmt.Sprint("n", i), Incarnation: 1, Sequence: 1, Targets: []tracker.Target{{Name: fmt.Sprint("t", i), Service: "s"}},
		}})
	}
	return f
}

// report delivers the record of n to its publisher, from which the node gets the record back. It refutes its loss.
func (f *publishing) report(n *reportingNode) {
	p := f.publishers[n.at]
	if n.down || p.frozen {
		return
	}
	p.presence.Record(n.record, f.now.Add(lifetime))
	p.directory, _ = p.directory.With(n.record)
	n.reported, n.orphaned = n.at, false
	if held, _ := p.directory.Node(n.record.Name); held.Gone && held.Incarnation == n.record.Incarnation {
		n.record.Sequence++
		p.presence.Record(n.record, f.now.Add(lifetime))
		p.directory, _ = p.directory.With(n.record)
	}
}

func (f *publishing) move(n *reportingNode, at int) {
	if n.down {
		return
	}
	n.at = at
	n.record.Sequence++
	f.report(n)
}

// synchronize delivers the directory of each publisher to the others.
func (f *publishing) synchronize() {
	for _, from := range f.publishers {
		for _, to := range f.publishers {
			if !from.cut && !to.cut && !from.frozen && !to.frozen {
				to.directory, _ = to.directory.With(from.directory.Nodes()...)
			}
		}
	}
}

func (f *publishing) expire(p *publisher) {
	if p.frozen {
		return
	}
	lost, _ := p.presence.Expire(f.now, p.directory)
	p.directory, _ = p.directory.With(lost...)
}

// settle ends all faults and lets twice the lifetime of a report pass, with reports and expiries in every step.
func (f *publishing) settle() {
	for _, p := range f.publishers {
		p.cut, p.frozen = false, false
	}
	for range 12 {
		f.now = f.now.Add(lifetime / 6)
		for _, n := range f.nodes {
			f.report(n)
		}
		f.synchronize()
		for _, p := range f.publishers {
			f.expire(p)
		}
	}
	f.synchronize()
}

// TestNodeThatChangesPublisherIsLost guards against targets that get no requests for good: their node has moved to another
// publisher, and the one before declares it lost.
func TestNodeThatChangesPublisherIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newPublishing()
		for i, n := range f.nodes {
			f.move(n, i)
		}
		anyNode := func(t *rapid.T) *reportingNode { return rapid.SampledFrom(f.nodes).Draw(t, "node") }
		anyPublisher := func(t *rapid.T) *publisher { return rapid.SampledFrom(f.publishers).Draw(t, "publisher") }
		t.Repeat(map[string]func(*rapid.T){
			"move":   func(t *rapid.T) { f.move(anyNode(t), rapid.IntRange(0, 2).Draw(t, "at")) },
			"report": func(t *rapid.T) { f.report(anyNode(t)) },
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"synchronize": func(*rapid.T) { f.synchronize() },
			"expire":      func(t *rapid.T) { f.expire(anyPublisher(t)) },
			"cut":         func(t *rapid.T) { p := anyPublisher(t); p.cut = !p.cut },
			"freeze":      func(t *rapid.T) { p := anyPublisher(t); p.frozen = !p.frozen },
			"restart publisher": func(t *rapid.T) {
				at := rapid.IntRange(0, 2).Draw(t, "at")
				f.publishers[at] = &publisher{presence: tracker.NewPresence()}
				for _, n := range f.nodes {
					n.orphaned = n.orphaned || n.reported == at
				}
			},
			"restart node": func(t *rapid.T) {
				n := anyNode(t)
				n.down = false
				n.record.Incarnation, n.record.Sequence = n.record.Incarnation+1, 1
				f.report(n)
			},
			"stop node": func(t *rapid.T) { anyNode(t).down = true },
			"settle": func(t *rapid.T) {
				f.settle()
				for i, p := range f.publishers {
					for _, n := range f.nodes {
						held, known := p.directory.Node(n.record.Name)
						switch {
						case !n.down:
							assert.Assert(t, known && !held.Gone, "publisher %d has lost %s", i, n.record.Name)
						case !n.orphaned:
							assert.Assert(t, !known || held.Gone, "publisher %d still has %s", i, n.record.Name)
						}
					}
				}
			},
		})
	})
}

// TestOnlyTheNewestPublisherJudgesANode has a node move, and both its publishers wait for its next report in vain.
func TestOnlyTheNewestPublisherJudgesANode(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := tracker.NewPresence(), tracker.NewPresence()
	record := tracker.Node{Name: "n", Incarnation: 1, Sequence: 1}
	first.Record(record, now.Add(lifetime))
	record.Sequence++
	second.Record(record, now.Add(2*lifetime))
	directory, _ := tracker.Directory{}.With(record)

	lost, moved := first.Expire(now.Add(lifetime-time.Nanosecond), directory)
	assert.Assert(t, len(lost) == 0 && len(moved) == 0, "the deadline has not passed")
	lost, moved = first.Expire(now.Add(lifetime), directory)
	assert.Equal(t, len(lost), 0)
	assert.DeepEqual(t, moved, []string{"n"})
	lost, _ = first.Expire(now.Add(3*lifetime), directory)
	assert.Equal(t, len(lost), 0)
	lost, moved = second.Expire(now.Add(2*lifetime), directory)
	assert.Equal(t, len(moved), 0)
	record.Gone = true
	assert.DeepEqual(t, lost, []tracker.Node{record})
}
