// Package appointer chooses the nodes that lend the workspaces' rates. They must be the same for all processes, so the leader
// of the replicated log proposes them, and the log decides.
package appointer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
)

const (
	// settleTime is how long no further node may have appeared before the lenders are chosen, and maxSettleTime bounds the
	// wait for that. The nodes of a fleet that starts report within seconds.
	settleTime    = time.Second
	maxSettleTime = 4 * time.Second
	// minSlots and maxSlots bound the number of slots. The loss of a node of a large fleet takes at most a few of them, and a
	// record of maxSlots takes some 20 KB. Below that there is one slot for nodesPerSlot nodes, so that a lender answers about
	// as many requests for tokens as that number of nodes sends.
	minSlots     = 24
	maxSlots     = 240
	nodesPerSlot = 4
	// lostFor is how long a holder must be lost before its slot is made vacant. Restarts and repairs of a VM are shorter, and
	// a holder that comes back under its name lends again at once.
	lostFor = 10 * time.Minute
)

// Appointer decides on the next lenders. It remembers since when nodes are known or lost and slots are vacant, so a process
// that becomes leader starts with a new one. It is not safe for concurrent use.
type Appointer struct {
	candidates int
	firstSeen  time.Time
	lastSeen   time.Time
	lost       map[string]time.Time
	vacant     map[int]time.Time
}

// New returns an Appointer that has seen nothing.
func New() *Appointer {
	return &Appointer{lost: make(map[string]time.Time), vacant: make(map[int]time.Time)}
}

// Decide returns the lenders to propose at now, with the reason, if those in force are to change. lenders are those in force
// in the log and directory the nodes that are known.
func (a *Appointer) Decide(
	now time.Time, lenders configurer.Lenders, directory tracker.Directory,
) (next configurer.Lenders, reason string, change bool) {
	candidates := slices.DeleteFunc(directory.Nodes(), func(n tracker.Node) bool { return !n.Lends || n.Gone || n.Leaving })
	if lenders.Epoch == 0 {
		return a.decideFirst(now, candidates)
	}
	next = configurer.Lenders{Epoch: lenders.Epoch + 1, Slots: slices.Clone(lenders.Slots)}
	vacated := a.vacateLost(now, next.Slots, directory)
	taken := a.fillVacant(now, lenders.Slots, next.Slots, candidates)
	switch {
	case vacated && taken:
		reason = "holders are lost, and others take vacant slots"
	case vacated:
		reason = "holders are lost"
	case taken:
		reason = "the rights of the last holders have ended"
	}
	return next, reason, vacated || taken
}

// decideFirst returns the first lenders, once all nodes of a fleet that starts are likely to be known.
func (a *Appointer) decideFirst(now time.Time, candidates []tracker.Node) (configurer.Lenders, string, bool) {
	if len(candidates) == 0 {
		return configurer.Lenders{}, "", false
	}
	if a.firstSeen.IsZero() {
		a.firstSeen = now
	}
	if len(candidates) != a.candidates {
		a.candidates, a.lastSeen = len(candidates), now
	}
	if now.Sub(a.lastSeen) < settleTime && now.Sub(a.firstSeen) < maxSettleTime {
		return configurer.Lenders{}, "", false
	}
	return First(candidates), "no lenders were chosen yet", true
}

// First returns the first lenders among candidates, of which there is at least one. The slots are spread evenly over the
// regions, over the data centres of each, and over the nodes of these.
func First(candidates []tracker.Node) configurer.Lenders {
	places := placesOf(candidates)
	slots := make([]configurer.LenderSlot, min(max(minSlots, len(candidates)/nodesPerSlot), maxSlots))
	for i := range slots {
		centres := places[i%len(places)]
		nodes := centres[i/len(places)%len(centres)]
		node := nodes[i/len(places)/len(centres)%len(nodes)]
		slots[i] = configurer.LenderSlot{
			Region: node.Region, Centre: node.Centre, Holder: node.Name, Address: node.Address, Term: 1,
		}
	}
	return configurer.Lenders{Epoch: 1, Slots: slots}
}

// placesOf returns the nodes by region and data centre, sorted by name, and within a data centre by a hash of the node's name,
// so that nodes next to each other in name, and perhaps in place, are not all chosen.
func placesOf(nodes []tracker.Node) [][][]tracker.Node {
	nodes = slices.SortedFunc(slices.Values(nodes), func(a, b tracker.Node) int {
		return cmp.Or(strings.Compare(a.Region, b.Region), strings.Compare(a.Centre, b.Centre),
			cmp.Compare(hash(a.Name), hash(b.Name)), strings.Compare(a.Name, b.Name))
	})
	var places [][][]tracker.Node
	for i, node := range nodes {
		if i == 0 || nodes[i-1].Region != node.Region {
			places = append(places, nil)
		}
		centres := &places[len(places)-1]
		if len(*centres) == 0 || nodes[i-1].Centre != node.Centre {
			*centres = append(*centres, nil)
		}
		last := &(*centres)[len(*centres)-1]
		*last = append(*last, node)
	}
	return places
}

// vacateLost makes the slots vacant whose holders have been lost for lostFor. It reports whether there were any.
func (a *Appointer) vacateLost(now time.Time, slots []configurer.LenderSlot, directory tracker.Directory) bool {
	vacated := false
	for i, slot := range slots {
		if slot.Holder == "" {
			continue
		}
		if node, ok := directory.Node(slot.Holder); ok && !node.Gone && node.Lends {
			delete(a.lost, slot.Holder)
			continue
		}
		since, known := a.lost[slot.Holder]
		if !known {
			a.lost[slot.Holder] = now
		}
		if known && now.Sub(since) >= lostFor {
			slots[i].Holder, slots[i].Address = "", ""
			vacated = true
		}
	}
	return vacated
}

// fillVacant gives the slots of next that have been vacant in force for allocator.AgreedEnd to nodes. It reports whether there
// were any.
func (a *Appointer) fillVacant(now time.Time, inForce, next []configurer.LenderSlot, candidates []tracker.Node) bool {
	taken := false
	for i, slot := range inForce {
		if slot.Holder != "" {
			delete(a.vacant, i)
			continue
		}
		since, known := a.vacant[i]
		if !known {
			a.vacant[i] = now
		}
		if !known || now.Sub(since) < allocator.AgreedEnd || len(candidates) == 0 {
			continue
		}
		node := slices.MinFunc(candidates, func(x, y tracker.Node) int { return compare(slot, next, x, y) })
		next[i].Holder, next[i].Address, next[i].Term = node.Name, node.Address, slot.Term+1
		taken = true
	}
	return taken
}

// compare is negative if x is the better holder of slot than y: in its data centre, in its region, with fewer slots.
func compare(slot configurer.LenderSlot, slots []configurer.LenderSlot, x, y tracker.Node) int {
	distance := func(n tracker.Node) int {
		switch {
		case n.Region != slot.Region:
			return 2
		case n.Centre != slot.Centre:
			return 1
		}
		return 0
	}
	held := func(n tracker.Node) int {
		count := 0
		for _, other := range slots {
			if other.Holder == n.Name {
				count++
			}
		}
		return count
	}
	return cmp.Or(cmp.Compare(distance(x), distance(y)), cmp.Compare(held(x), held(y)), cmp.Compare(hash(x.Name), hash(y.Name)))
}

func hash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}
