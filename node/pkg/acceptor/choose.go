package acceptor

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphiremount.example/core/admitter"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/monitor"
	"samphiremount.example/core/regulator"
	"samphiremount.example/core/restrictor"
	"samphiremount.example/core/router"
	"samphiremount.example/core/sampler"
	"samphiremount.example/core/throttler"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// Watcher provides the ejected targets and records evidence.
type Watcher interface {
	Ejections(service string) []ejector.Ejection
	RecordUnreachable(target, service string)
}

const (
	// departureLifetime is how long a target is avoided that has stated in an answer that it leaves. The directory may show
	// it for as long: a gate that has restarted does not know.
	departureLifetime = 5 * time.Minute
	// lostLifetime is how long the targets of a node that the control process has declared lost may still be used.
	lostLifetime = 30 * time.Second
)

// chooser runs the router on what this node knows: the directory, its own requests in flight, the loads that gates
// report with their answers, and which nodes it reaches.
type chooser struct {
	name     string
	locality router.Locality
	router   router.Router
	log      *slog.Logger
	watcher  Watcher
	gossip   *gossiper.Gossiper
	useLost  bool

	mu           sync.Mutex
	random       *rand.Rand
	inFlight     map[string]int
	reports      map[string]router.Report
	paths        map[string]monitor.Path
	suspectUntil map[string]time.Time
	// limitedUntil is the time before which the gate of a target refuses requests because of the target's limit, and limits
	// are the limits themselves.
	limitedUntil  map[string]time.Time
	limits        map[string]regulator.Limit
	leaving       map[string]departure
	lost          map[string]time.Time
	highDurations map[time.Duration]time.Duration
	meanDurations map[time.Duration]time.Duration
	meanSizes     map[time.Duration]float64
	ejections     map[string]map[string]ejector.Ejection
	warmups       router.Warmups
	trials        map[string]sampler.Pace
	// throttles limits, for each service, the attempts in other regions while these have no free slots.
	throttles map[string]throttler.Throttle
	// rooms is nil without admission.
	rooms *admitter.Rooms
	// calls holds the last call of this VM's targets to each service.
	calls map[string]call

	// The fields below are derived from view, and are recomputed when it changes.
	view    *viewer.View
	fleet   router.FleetSize
	subsets map[string][]tracker.Placement
}

// departure is what is known of a target that has stated that it leaves: its start, and until when that counts.
type departure struct {
	startedAt int64
	until     time.Time
}

func newChooser(dependencies Dependencies) *chooser {
	var rooms *admitter.Rooms
	if dependencies.Admission != nil {
		rooms = admitter.NewRooms()
	}
	return &chooser{
		rooms: rooms, calls: make(map[string]call), name: dependencies.Name, locality: dependencies.Locality, router: dependencies.Router,
		log: dependencies.RouteLog, watcher: dependencies.Watcher, gossip: dependencies.Gossip, useLost: dependencies.UseLostNodes,
		random:   dependencies.Random,
		inFlight: make(map[string]int), reports: make(map[string]router.Report), paths: make(map[string]monitor.Path),
		suspectUntil: make(map[string]time.Time), limitedUntil: make(map[string]time.Time), limits: make(map[string]regulator.Limit),
		leaving: make(map[string]departure), lost: make(map[string]time.Time),
		highDurations: make(map[time.Duration]time.Duration), meanDurations: make(map[time.Duration]time.Duration),
		meanSizes: make(map[time.Duration]float64), ejections: make(map[string]map[string]ejector.Ejection),
		throttles: make(map[string]throttler.Throttle), trials: make(map[string]sampler.Pace),
	}
}

// choose picks a target for the request and counts the request as in flight there until endRequest is called. The
// targets in excluded are not picked. If localRegion is set, the request goes to another region only if the local region
// has no target. Targets that are suspect, or that this node does not reach, are chosen only for a request that allows
// suspect targets.
func (c *chooser) choose(view *viewer.View, head forwarder.Head, localRegion bool, excluded ...string) (router.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updateView(now, view)
	if choice, ok := c.chooseTrial(now, view, head, excluded); ok {
		return choice, nil
	}
	ejected := c.ejected(now, view, head.Service)
	candidates := c.candidates(now, view, head, ejected)
	throttle := c.throttles[head.Service]
	localRegion = localRegion || !throttle.Allow(now)
	request := router.Request{Repeatable: head.Repeatable, Tried: excluded, LocalRegion: localRegion}
	choice, err := c.router.Choose(now, c.random, request, candidates)
	if err != nil {
		return router.Choice{}, err
	}
	if c.isRemote(choice.Placement) {
		c.throttles[head.Service] = throttle.WithAttempt(now)
	}
	if choice.Trial {
		c.trials[choice.Placement.Target.Name] = c.newPace(now)
	}
	c.inFlight[choice.Placement.Target.Name]++
	c.log.Info("target chosen", "request", head.AttemptID, "workspace", head.Workspace, "service", head.Service,
		"target", choice.Placement.Target.Name, "node", choice.Placement.Node.Name, "candidates", len(candidates),
		"insists", head.AllowSuspect, "odds", throttle.SuccessRate(), "reason", choice.Reason)
	return choice, nil
}

// isRemote reports whether a placement is in another region.
func (c *chooser) isRemote(placement tracker.Placement) bool {
	return placement.Node.Region != c.locality.Region
}

func (c *chooser) candidates(
	now time.Time, view *viewer.View, head forwarder.Head, ejected map[string]ejector.Ejection,
) []router.Candidate {
	rule := placeRule(view, head)
	placements := c.subset(view, head.Service, rule, ejected)
	if c.useLost {
		placements = append(slices.Clip(placements), rule.Filter(c.recentlyLost(now, view.Directory.Lost(head.Service)))...)
	}
	candidates := make([]router.Candidate, 0, len(placements))
	for _, placement := range placements {
		name := placement.Target.Name
		avoided := c.paths[placement.Node.Name].Avoided(now) || c.isSuspect(now, name, head)
		if avoided && !head.AllowSuspect || c.isBarred(now, placement.Target) {
			continue
		}
		candidates = append(candidates, router.Candidate{
			Placement: placement, Load: c.inFlight[name], Report: c.reports[name], Status: c.status(now, ejected, placement),
		})
	}
	return candidates
}

// isBarred reports whether target has itself ruled out requests at now: it has stated that it leaves, or its limit is used
// up.
func (c *chooser) isBarred(now time.Time, target tracker.Target) bool {
	if now.Before(c.limitedUntil[target.Name]) {
		return true
	}
	departure, ok := c.leaving[target.Name]
	return ok && departure.startedAt == target.StartedAt && now.Before(departure.until)
}

// recentlyLost returns the placements on nodes that were declared lost less than lostLifetime ago.
func (c *chooser) recentlyLost(now time.Time, placements []tracker.Placement) []tracker.Placement {
	var usable []tracker.Placement
	for _, placement := range placements {
		if since, ok := c.lost[placement.Node.Name]; ok && now.Sub(since) < lostLifetime {
			usable = append(usable, placement)
		}
	}
	return usable
}

// pickService picks one of the services of route at random, by their weights.
func (c *chooser) pickService(route configurer.Route) string {
	if len(route.Splits) == 0 {
		return route.Service
	}
	total := 0
	for _, split := range route.Splits {
		total += split.Weight
	}
	c.mu.Lock()
	remaining := c.random.IntN(total)
	c.mu.Unlock()
	for _, split := range route.Splits {
		if remaining < split.Weight {
			return split.Service
		}
		remaining -= split.Weight
	}
	return route.Splits[len(route.Splits)-1].Service
}

// subset returns the targets of service that this node uses and that rule allows. Ejected ones are replaced by others.
func (c *chooser) subset(
	view *viewer.View, service string, rule restrictor.Rule, ejected map[string]ejector.Ejection,
) []tracker.Placement {
	key := service + rule.Regions.Key()
	if subset, ok := c.subsets[key]; ok && len(ejected) == 0 {
		return subset
	}
	placements := rule.Filter(view.Directory.Placements(service))
	if len(ejected) == 0 {
		c.subsets[key] = c.router.Subset(c.name, c.fleet, placements)
		return c.subsets[key]
	}
	return c.router.Subset(c.name, c.fleet, slices.DeleteFunc(slices.Clone(placements), func(p tracker.Placement) bool {
		entry, ok := ejected[p.Target.Name]
		return ok && entry.Phase == ejector.Excluded
	}))
}

// ejected returns the ejections that this node applies to the service called name, within the floor that this node
// calculates.
func (c *chooser) ejected(now time.Time, view *viewer.View, name string) map[string]ejector.Ejection {
	entries := c.watcher.Ejections(name)
	if len(entries) == 0 && len(c.ejections[name]) == 0 {
		return nil
	}
	service, ok := view.Configuration.Service(name)
	if !ok {
		return nil
	}
	var capacities []ejector.Capacity
	slots := 0
	for _, placement := range view.Directory.Placements(name) {
		if !placement.Target.Leaving && !view.Configuration.Evacuated(placement.Node.Centre) {
			capacities = append(capacities, ejector.Capacity{Target: placement.Target.Name, Slots: placement.Target.Slots})
			slots += placement.Target.Slots
		}
	}
	ejected := ejector.EnforceFloor(entries, capacities, service.FloorSlots(slots))
	for target := range c.ejections[name] {
		if _, still := ejected[target]; !still {
			c.warmups.RecordReturn(now, target)
			delete(c.trials, target)
		}
	}
	c.ejections[name] = ejected
	return ejected
}

func (c *chooser) status(now time.Time, ejected map[string]ejector.Ejection, placement tracker.Placement) router.Status {
	name := placement.Target.Name
	entry, ok := ejected[name]
	switch {
	case !ok:
		return c.warmups.Serving(name)
	case entry.Phase == ejector.Trial:
		return router.Trial{Due: !c.isRemote(placement) && c.isTrialDue(now, name)}
	default:
		delete(c.trials, name)
		return router.Ejected{}
	}
}

// isTrialDue reports whether this node is to send a request to the target on trial called name.
func (c *chooser) isTrialDue(now time.Time, name string) bool {
	if _, ok := c.trials[name]; !ok {
		c.trials[name] = c.newPace(now)
	}
	return c.trials[name].Due(now)
}

// newPace returns the pace of this node towards a target on trial in its region. The nodes of other regions send it
// nothing.
func (c *chooser) newPace(now time.Time) sampler.Pace {
	return sampler.New(now, c.random, min(c.fleet.Region, c.fleet.MaxPerTarget))
}

// updateView adopts view if it has changed.
func (c *chooser) updateView(now time.Time, view *viewer.View) {
	if view == c.view {
		return
	}
	nodes := view.Directory.Nodes()
	var serving []string
	reports := make(map[string]router.Report, len(c.reports))
	limits := make(map[string]regulator.Limit, len(c.limits))
	paths := make(map[string]monitor.Path, len(c.paths))
	for _, node := range nodes {
		paths[node.Name] = c.paths[node.Name]
		for _, target := range node.Targets {
			// A target whose data centre returns from an evacuation starts slowly, like one that joins.
			if node.Gone && !c.useLost || node.Leaving || target.Leaving || view.Configuration.Evacuated(node.Centre) {
				continue
			}
			serving = append(serving, target.Name)
			if report, ok := c.reports[target.Name]; ok {
				reports[target.Name] = report
			}
			if limit, ok := c.limits[target.Name]; ok {
				limits[target.Name] = limit
			}
		}
	}
	c.warmups.Update(now, serving)
	c.view, c.reports, c.limits, c.paths, c.lost = view, reports, limits, paths, c.lostSince(now, nodes)
	c.fleet = router.CountNodes(c.locality, nodes)
	c.subsets = make(map[string][]tracker.Placement)
	maps.DeleteFunc(c.leaving, func(_ string, d departure) bool { return !now.Before(d.until) })
	for _, times := range []map[string]time.Time{c.suspectUntil, c.limitedUntil} {
		maps.DeleteFunc(times, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
}

// lostSince returns, for each node that the control process has declared lost, when this node learned of it.
func (c *chooser) lostSince(now time.Time, nodes []tracker.Node) map[string]time.Time {
	lost := make(map[string]time.Time)
	for _, node := range nodes {
		if !node.Gone {
			continue
		}
		lost[node.Name] = now
		if since, ok := c.lost[node.Name]; ok {
			lost[node.Name] = since
		}
	}
	return lost
}

func (c *chooser) recordPathFailure(now time.Time, node string, cause error) {
	before := c.paths[node]
	c.paths[node] = before.WithFailure(now)
	if c.paths[node] != before {
		c.log.Info("path avoided", "node", node, "reason", cause.Error())
	}
}

// destination returns how to reach the node of placement.
func (c *chooser) destination(placement tracker.Placement, relays func() []string) forwarder.Destination {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := placement.Node.Name
	return forwarder.Destination{
		Address: placement.Node.Address, Relays: relays, ResponseTimeout: c.paths[name].Timeout(),
		OnFirstResponse: func(rtt time.Duration) { c.recordPathSuccess(name, rtt) },
	}
}

func (c *chooser) recordPathSuccess(node string, rtt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.paths[node].Avoided(now) {
		c.log.Info("path used again", "node", node, "trip", rtt)
	}
	c.paths[node] = c.paths[node].WithSuccess(now, rtt)
}

// endRequest removes a request to target from the requests in flight.
func (c *chooser) endRequest(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[target]--
	if c.inFlight[target] == 0 {
		delete(c.inFlight, target)
	}
}

// permutation returns the numbers below n in random order.
func (c *chooser) permutation(n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Perm(n)
}
