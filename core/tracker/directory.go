package tracker

import (
	"maps"
	"slices"
	"strings"
)

// Directory is an immutable map of the fleet. The zero value is empty.
type Directory struct {
	nodes   map[string]Node
	present map[string][]Placement
	lost    map[string][]Placement
}

// Placement is one target together with the node beside it.
type Placement struct {
	Target Target
	Node   Node
}

// With returns the directory after merging the records that are newer than what it holds, and those records.
// The result does not depend on the order in which records arrive.
func (d Directory) With(records ...Node) (Directory, []Node) {
	var changed []Node
	nodes := d.nodes
	for _, record := range records {
		old, ok := nodes[record.Name]
		if ok && !record.Newer(old) {
			continue
		}
		if len(changed) == 0 {
			nodes = maps.Clone(nodes)
		}
		if nodes == nil {
			nodes = make(map[string]Node)
		}
		nodes[record.Name] = record
		changed = append(changed, record)
	}
	if len(changed) == 0 {
		return d, nil
	}
	directory := Directory{nodes: nodes}
	directory.present = groupByService(nodes, func(node Node) bool { return !node.Gone })
	directory.lost = groupByService(nodes, func(node Node) bool { return node.Gone })
	return directory, changed
}

// Nodes returns all records, sorted by name, those of lost nodes included.
func (d Directory) Nodes() []Node {
	nodes := make([]Node, 0, len(d.nodes))
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) {
		nodes = append(nodes, d.nodes[name])
	}
	return nodes
}

// Len returns the number of nodes that are known, those that are gone included.
func (d Directory) Len() int { return len(d.nodes) }

// Node returns the record of the node called name.
func (d Directory) Node(name string) (Node, bool) {
	node, ok := d.nodes[name]
	return node, ok
}

// Placements returns the targets of service on nodes that are present, sorted by name. Callers must not change it.
func (d Directory) Placements(service string) []Placement {
	return d.present[service]
}

// Lost returns the targets of service on nodes that control lost, sorted by name. Other nodes may reach them still.
// Callers must not change it.
func (d Directory) Lost(service string) []Placement {
	return d.lost[service]
}

func groupByService(nodes map[string]Node, wanted func(Node) bool) map[string][]Placement {
	services := make(map[string][]Placement)
	for _, node := range nodes {
		if node.Leaving || !wanted(node) {
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
