package starter

import (
	"samphiremount.example/core/warmer"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/viewer"
)

// ColdMargin is what a cold target may get in a second beside the rate of its service: the rate times Overage less one, plus
// Tolerance. The zero value leaves a cold target its rate alone.
type ColdMargin struct {
	Overage   float64
	Tolerance float64
}

// site implements gatekeeper.Site with the view of the node.
type site struct {
	viewer *viewer.Viewer
	centre string
	// requireConfiguration is set if the targets get no requests before the node has a configuration, which may evacuate their
	// data centre.
	requireConfiguration bool
	margin               ColdMargin
}

var _ gatekeeper.Site = site{}

// Ready implements gatekeeper.Site.
func (s site) Ready() bool {
	return !s.requireConfiguration || s.viewer.Configuration().Version() > 0
}

// Evacuated implements gatekeeper.Site.
func (s site) Evacuated() bool { return s.viewer.Configuration().Evacuated(s.centre) }

// ColdLimit implements gatekeeper.Site.
func (s site) ColdLimit(name string) warmer.Limit {
	service, _ := s.viewer.Configuration().Service(name)
	return warmer.Limit{
		Rate: float64(service.ColdRate), Duration: service.ColdDuration, Overage: max(s.margin.Overage, 1), Tolerance: s.margin.Tolerance,
	}
}
