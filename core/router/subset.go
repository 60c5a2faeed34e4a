package router

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphiremount.example/core/tracker"
)

// MaxNodesPerTarget is the number of entry nodes that may hold connections towards one target.
const MaxNodesPerTarget = 330

const (
	centreShare = 0.4
	regionShare = 0.3

	// marginDeviations is the number of standard deviations kept free, since rendezvous hashing does not divide evenly.
	marginDeviations = 4
)

// FleetSize is the number of nodes in a node's data centre, in its region and in all, and the limit on connections.
type FleetSize struct {
	Centre       int
	Region       int
	Total        int
	MaxPerTarget int
}

// CountNodes returns the numbers of the fleet as a node at place sees them.
func CountNodes(place Locality, nodes []tracker.Node) FleetSize {
	fleet := FleetSize{MaxPerTarget: MaxNodesPerTarget}
	for _, node := range nodes {
		if node.Gone {
			continue
		}
		fleet.Total++
		if node.Region == place.Region {
			fleet.Region++
		}
		if node.Region == place.Region && node.Centre == place.Centre {
			fleet.Centre++
		}
	}
	return fleet
}

// Subset returns the placements that the node called name uses: in each tier those with the highest rendezvous hash of
// node and target (Thaler and Ravishankar 1998), so that a target that joins or leaves moves few others. The size of
// each tier's part is such that the nodes of that tier which use one target stay within a part of the limit. At least
// one target is used in each tier, so the limit cannot hold for a tier with fewer targets than nodes per limit.
func (r Router) Subset(name string, fleet FleetSize, placements []tracker.Placement) []tracker.Placement {
	var tiers [tierCount][]tracker.Placement
	for _, placement := range placements {
		place := r.tierOf(placement.Node)
		tiers[place] = append(tiers[place], placement)
	}
	limit := float64(fleet.MaxPerTarget)
	sizes := [tierCount]int{
		subsetSize(len(tiers[0]), fleet.Centre, centreShare*limit),
		subsetSize(len(tiers[1]), fleet.Region, regionShare*limit),
		subsetSize(len(tiers[2]), fleet.Total, (1-centreShare-regionShare)*limit),
	}
	subset := make([]tracker.Placement, 0, sizes[0]+sizes[1]+sizes[2])
	for place, members := range tiers {
		if sizes[place] < len(members) {
			slices.SortFunc(members, func(a, b tracker.Placement) int {
				return cmp.Compare(rendezvousHash(name, b.Target.Name), rendezvousHash(name, a.Target.Name))
			})
		}
		subset = append(subset, members[:sizes[place]]...)
	}
	return subset
}

// subsetSize returns how many of targets each of nodes may use so that hardly any target is used by more than limit nodes.
func subsetSize(targets, nodes int, limit float64) int {
	if float64(nodes) <= limit {
		return targets
	}
	for used := targets; used > 1; used-- {
		share := float64(used) / float64(targets)
		mean := share * float64(nodes)
		if mean+marginDeviations*math.Sqrt(mean*(1-share)) <= limit {
			return used
		}
	}
	return min(targets, 1)
}

func rendezvousHash(node, target string) uint64 {
	return xxhash.Sum64String(node + "\x00" + target)
}
