// Package attributor learns which services the runs of each kind of request call. A call does not name the run that made it, so
// a kind is taken to call a service if a call to that service is seen during nearly each of its runs.
//
// It is designed for requests whose nested call cannot be served: a run that fails for want of its call has used its slot and
// perhaps its only attempt for nothing.
package attributor

import "time"

const (
	// shareWeight is the weight of a new run in the share of runs with a call.
	shareWeight = 1.0 / 32
	// minShare is the share of runs with a call above which a kind is taken to call the service. Runs that call nothing share
	// their VM with others, whose calls are seen during some of them.
	minShare = 0.95
	// minRuns is the number of runs of a kind that the share is based on.
	minRuns = 16
	// maxKinds and maxServices bound what is learned on one VM.
	maxKinds    = 64
	maxServices = 64
)

// kind is what is known of the runs with one objective: their number, and the share of them with a call, by service.
type kind struct {
	runs   int
	shares map[string]float64
}

// Attributor learns from the runs and calls of one VM. Requests of one kind have one objective, so the objective identifies the
// kind. It is not safe for concurrent use.
type Attributor struct {
	kinds map[time.Duration]kind
	// running holds the services that were called during each run in progress, by the ID of the run.
	running  map[string]map[string]bool
	services map[string]bool
}

// New returns an Attributor that has seen no runs.
func New() *Attributor {
	return &Attributor{kinds: make(map[time.Duration]kind), running: make(map[string]map[string]bool), services: make(map[string]bool)}
}

// Start records the start of the run with that id.
func (a *Attributor) Start(id string) { a.running[id] = make(map[string]bool) }

// Call records a call to service by one of the runs in progress.
func (a *Attributor) Call(service string) {
	if !a.services[service] && len(a.services) >= maxServices {
		return
	}
	a.services[service] = true
	for _, called := range a.running {
		called[service] = true
	}
}

// End records the end of the run with that id. Only runs that were served count: others may have ended before their call.
func (a *Attributor) End(id string, objective time.Duration, served bool) {
	called, ok := a.running[id]
	delete(a.running, id)
	if !ok || !served || len(a.services) == 0 {
		return
	}
	known, ok := a.kinds[objective]
	if !ok {
		if len(a.kinds) >= maxKinds {
			clear(a.kinds)
		}
		known.shares = make(map[string]float64)
	}
	known.runs++
	for service := range a.services {
		seen := 0.0
		if called[service] {
			seen = 1
		}
		// The first runs have the same weight, so that few of them suffice.
		weight := max(shareWeight, 1/float64(known.runs))
		known.shares[service] += weight * (seen - known.shares[service])
	}
	a.kinds[objective] = known
}

// Calls returns the services that nearly each run of requests with the objective calls.
func (a *Attributor) Calls(objective time.Duration) []string {
	known := a.kinds[objective]
	if known.runs < minRuns {
		return nil
	}
	var services []string
	for service, share := range known.shares {
		if share >= minShare {
			services = append(services, service)
		}
	}
	return services
}
