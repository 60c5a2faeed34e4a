package router

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphiremount.example/core/tracker"
)

// MaxNodesPerTarget bounds the number of entry nodes that hold connections to one target.
const MaxNodesPerTarget = 330

const (
	// centreShare and regionShare are the shares of the limit for the nodes in the data centre of a target and for those
	// in other data centres of its region. The rest is for the nodes of other regions.
	centreShare = 0.4
	regionShare = 0.3

	// marginDeviations is the number of standard deviations left free below the limit, since rendezvous hashing does not
	// distribute evenly.
	marginDeviations = 4
)

// FleetSize holds the numbers of nodes in a node's data centre, in its region and in total, and MaxPerTarget, the
// maximum number of entry nodes that use one target.
type FleetSize struct {
	Centre       int
	Region       int
	Total        int
	MaxPerTarget int
}

// CountNodes returns the size of the fleet as seen from locality. Nodes that control has lost do not count.
func CountNodes(locality Locality, nodes []tracker.Node) FleetSize {
	fleet := FleetSize{MaxPerTarget: MaxNodesPerTarget}
	for _, node := range nodes {
		if node.Gone {
			continue
		}
		fleet.Total++
		if node.Region == locality.Region {
			fleet.Region++
		}
		if node.Region == locality.Region && node.Centre == locality.Centre {
			fleet.Centre++
		}
	}
	return fleet
}

// Subset returns the placements that the node called name uses. In each tier these are the ones with the highest
// rendezvous hash of node and target (Thaler and Ravishankar 1998), so that a target that joins or leaves changes few
// other assignments. Each tier has a share of fleet.MaxPerTarget, and the number of its placements is chosen so that
// hardly any target is used by more nodes than that share. At least one target is used in each tier that has any, so the
// limit cannot hold for a tier that has too few targets for its nodes.
func (r Router) Subset(name string, fleet FleetSize, placements []tracker.Placement) []tracker.Placement {
	var tiers [tierCount][]tracker.Placement
	for _, placement := range placements {
		tierIndex := r.tierOf(placement.Node)
		tiers[tierIndex] = append(tiers[tierIndex], placement)
	}
	limit := float64(fleet.MaxPerTarget)
	sizes := [tierCount]int{
		subsetSize(len(tiers[0]), fleet.Centre, centreShare*limit),
		subsetSize(len(tiers[1]), fleet.Region, regionShare*limit),
		subsetSize(len(tiers[2]), fleet.Total, (1-centreShare-regionShare)*limit),
	}
	subset := make([]tracker.Placement, 0, sizes[0]+sizes[1]+sizes[2])
	for tierIndex, members := range tiers {
		if sizes[tierIndex] < len(members) {
			slices.SortFunc(members, func(a, b tracker.Placement) int {
				return cmp.Compare(rendezvousHash(name, b.Target.Name), rendezvousHash(name, a.Target.Name))
			})
		}
		subset = append(subset, members[:sizes[tierIndex]]...)
	}
	return subset
}

// subsetSize returns how many of the targets each node may use so that hardly any target is used by more than limit
// nodes.
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
