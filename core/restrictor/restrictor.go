// Package restrictor decides in which regions and data centres targets may get a request.
//
// It addresses requests that must stay in a home region and data centres that operators evacuate, under any load: where no
// target is allowed, a request is refused, however idle the targets elsewhere are.
package restrictor

import (
	"slices"
	"strings"

	"samphiremount.example/core/tracker"
)

// Regions are the regions in which a request may be served. The zero value allows all.
type Regions struct {
	restricted bool
	names      []string
}

// Intersect returns the regions that all of lists allow. An empty list allows all regions.
func Intersect(lists ...[]string) Regions {
	var regions Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !regions.restricted:
			regions = Regions{restricted: true, names: slices.Compact(slices.Sorted(slices.Values(list)))}
		default:
			regions.names = slices.DeleteFunc(regions.names, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return regions
}

// Allow reports whether the region called name is allowed.
func (r Regions) Allow(name string) bool {
	return !r.restricted || slices.Contains(r.names, name)
}

// Restricted reports whether any region is not allowed.
func (r Regions) Restricted() bool { return r.restricted }

// Key identifies the regions: equal regions have equal keys.
func (r Regions) Key() string {
	if !r.restricted {
		return ""
	}
	return "\x00" + strings.Join(r.names, "\x00")
}

// Rule states which targets a request may go to: those in Regions, except for those in data centres that Evacuated
// returns true for. A nil Evacuated returns true for none.
type Rule struct {
	Regions   Regions
	Evacuated func(centre string) bool
}

// Allow reports whether the request may go to the target of placement.
func (r Rule) Allow(placement tracker.Placement) bool {
	return r.Regions.Allow(placement.Node.Region) && (r.Evacuated == nil || !r.Evacuated(placement.Node.Centre))
}

// Filter returns those of placements that the request may go to, and placements itself if these are all.
func (r Rule) Filter(placements []tracker.Placement) []tracker.Placement {
	if !slices.ContainsFunc(placements, r.forbids) {
		return placements
	}
	return slices.DeleteFunc(slices.Clone(placements), r.forbids)
}

func (r Rule) forbids(placement tracker.Placement) bool { return !r.Allow(placement) }
