package budgeter

import (
	"maps"
	"slices"
)

// Tally is what a node has counted and not yet reported, by service.
type Tally struct {
	reports map[string]Report
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{reports: make(map[string]Report)} }

// CountRequest counts a request of service.
func (t *Tally) CountRequest(service string) {
	report := t.reports[service]
	report.Requests++
	t.reports[service] = report
}

// Charge counts an attempt of service that was sent without a grant and is an extra one with the given probability.
func (t *Tally) Charge(service string, probability float64) {
	report := t.reports[service]
	report.Charged += probability
	t.reports[service] = report
}

// Take returns what was counted of service, and begins anew for it.
func (t *Tally) Take(service string) Report {
	report := t.reports[service]
	delete(t.reports, service)
	report.Service = service
	return report
}

// Services returns the services of which something was counted.
func (t *Tally) Services() []string { return slices.Sorted(maps.Keys(t.reports)) }
