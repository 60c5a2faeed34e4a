package planner

import (
	"fmt"

	"samphiremount.example/core/configurer"
)

// Permissions holds the flags by which an operator allows changes: Remove allows removals, RemoveHalf allows removing
// half of all workspaces or more, FloorsAboveCapacity allows floors above the announced capacity.
type Permissions struct {
	Remove              bool
	RemoveHalf          bool
	FloorsAboveCapacity bool
}

// Dangers describes each dangerous change of the plan that permissions does not allow. A plan with dangers must not be
// applied.
func (p Plan) Dangers(permissions Permissions) []string {
	var dangers []string
	if !permissions.FloorsAboveCapacity {
		dangers = append(dangers, p.floorDangers...)
	}
	if permissions.Remove && !permissions.RemoveHalf && p.removedWorkspaces > 0 && 2*p.removedWorkspaces >= p.workspaceCount {
		dangers = append(dangers, fmt.Sprintf(
			"%d of %d workspaces would be removed, half or more: --half allows it", p.removedWorkspaces, p.workspaceCount,
		))
	}
	return dangers
}

// checkFloor records a danger if the floor of a new or changed service is above the capacity, in slots, that its targets
// announce.
func (p *Plan) checkFloor(service configurer.Service, capacity int) {
	if service.Floor > capacity {
		p.floorDangers = append(p.floorDangers, fmt.Sprintf(
			"service %s: the floor of %d slots is above the announced capacity of %d: --floors allows it",
			service.Name, service.Floor, capacity,
		))
	}
}
