package tracker

import "time"

// Presence holds the nodes that report to one publisher, and decides when one is lost. A node that changes publisher reports
// with a newer record, so only the publisher that got the newest record of a node judges it: one whose record has been
// overtaken knows that the node reports to another. It is not safe for concurrent use.
type Presence struct {
	reports map[string]report
}

// report is the last report of a node. Without another one before deadline, the node is lost.
type report struct {
	incarnation uint64
	sequence    uint64
	deadline    time.Time
}

// NewPresence returns a Presence without nodes.
func NewPresence() *Presence {
	return &Presence{reports: make(map[string]report)}
}

// Record records a report with the record node, which counts until deadline.
func (p *Presence) Record(node Node, deadline time.Time) {
	p.reports[node.Name] = report{node.Incarnation, node.Sequence, deadline}
}

// Expire removes the nodes whose last report does not count any more at now. It returns the records to publish for those that
// are lost, and the names of those of which directory has a newer record than the one that was reported here.
func (p *Presence) Expire(now time.Time, directory Directory) (lost []Node, moved []string) {
	for name, last := range p.reports {
		if now.Before(last.deadline) {
			continue
		}
		delete(p.reports, name)
		node, ok := directory.Node(name)
		if !ok || node.Incarnation != last.incarnation || node.Sequence != last.sequence {
			moved = append(moved, name)
			continue
		}
		node.Gone = true
		lost = append(lost, node)
	}
	return lost, moved
}
