package tracker

import (
	"maps"
	"slices"
	"strings"
)

// Directory is an immutable map of the nodes of the fleet and their targets. The zero value is empty.
type Directory struct {
	nodes   map[string]Node
	present map[string][]Placement
	lost    map[string][]Placement
	digests Digests
	// narrow is the number of nodes with a narrow link.
	narrow int
}

// Placement is one target together with the node on its VM.
type Placement struct {
	Target Target
	Node   Node
}

// With returns the directory after it has merged records, and the records that this has changed. A newer record replaces an
// older one, except for the departures that it inherits. The result does not depend on the order in which records arrive.
func (d Directory) With(records ...Node) (Directory, []Node) {
	var changed []Node
	nodes, digests, narrow := d.nodes, d.digests, d.narrow
	for _, record := range records {
		merged, isChange := record.withDepartures(nil), true
		if old, ok := nodes[record.Name]; ok {
			merged, isChange = old.mergedWith(record)
		}
		if !isChange {
			continue
		}
		if len(changed) == 0 {
			nodes = maps.Clone(nodes)
		}
		if nodes == nil {
			nodes = make(map[string]Node)
		}
		bucket := BucketOf(record.Name)
		digests[bucket] += merged.digest()
		narrow += merged.countNarrow()
		if old, ok := nodes[record.Name]; ok {
			digests[bucket] -= old.digest()
			narrow -= old.countNarrow()
		}
		nodes[record.Name] = merged
		changed = append(changed, merged)
	}
	if len(changed) == 0 {
		return d, nil
	}
	directory := Directory{nodes: nodes, digests: digests, narrow: narrow}
	directory.present = groupByService(nodes, func(node Node) bool { return !node.Gone })
	directory.lost = groupByService(nodes, func(node Node) bool { return node.Gone })
	return directory, changed
}

// Nodes returns all records, including those of lost nodes, sorted by name.
func (d Directory) Nodes() []Node {
	nodes := make([]Node, 0, len(d.nodes))
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) {
		nodes = append(nodes, d.nodes[name])
	}
	return nodes
}

// Digests returns the digests of all records.
func (d Directory) Digests() Digests { return d.digests }

// HasNarrow reports whether a node has a narrow link.
func (d Directory) HasNarrow() bool { return d.narrow > 0 }

// Len returns the number of records, including those of lost nodes.
func (d Directory) Len() int { return len(d.nodes) }

// Node returns the record of the node called name.
func (d Directory) Node(name string) (Node, bool) {
	node, ok := d.nodes[name]
	return node, ok
}

// Placements returns the targets of service on nodes that are neither lost nor leaving, sorted by name. Callers must not
// modify the slice.
func (d Directory) Placements(service string) []Placement {
	return d.present[service]
}

// Lost returns the targets of service on nodes that control has lost, except those that were leaving, sorted by name.
// Other nodes may still be able to reach them. Callers must not modify the slice.
func (d Directory) Lost(service string) []Placement {
	return d.lost[service]
}

// groupByService returns the placements on the nodes for which include returns true, by service and sorted by target
// name. Nodes that are leaving are left out.
func groupByService(nodes map[string]Node, include func(Node) bool) map[string][]Placement {
	services := make(map[string][]Placement)
	for _, node := range nodes {
		if node.Leaving || !include(node) {
			continue
		}
		for _, target := range node.Targets {
			services[target.Service] = append(services[target.Service], Placement{target, node})
		}
	}
	for _, placements := range services {
		slices.SortFunc(placements, func(a, b Placement) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	}
	return services
}
