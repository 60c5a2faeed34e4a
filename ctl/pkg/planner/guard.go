package planner

import (
	"fmt"

	"samphiremount.example/core/configurer"
)

// Permissions is what the operator has asked for by flags.
type Permissions struct {
	Remove              bool
	RemoveHalf          bool
	FloorsAboveCapacity bool
}

// Dangers names what the plan would do that permission does not cover. A plan with dangers must not be applied.
func (p Plan) Dangers(permission Permissions) []string {
	var dangers []string
	if !permission.FloorsAboveCapacity {
		dangers = append(dangers, p.floors...)
	}
	if permission.Remove && !permission.RemoveHalf && p.removed > 0 && 2*p.removed >= p.workspaces {
		dangers = append(dangers, fmt.Sprintf(
			"%d of %d workspaces would be removed, half or more: --half allows it", p.removed, p.workspaces,
		))
	}
	return dangers
}

// checkFloor notes a new or changed floor that the announced targets cannot keep.
func (p *Plan) checkFloor(service configurer.Service, capacity int) {
	if service.Floor > capacity {
		p.floors = append(p.floors, fmt.Sprintf(
			"service %s: the floor of %d slots is above the announced capacity of %d: --floors allows it",
			service.Name, service.Floor, capacity,
		))
	}
}
