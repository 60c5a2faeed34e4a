package acceptor

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/monitor"
	"samphiremount.example/core/router"
	"samphiremount.example/core/throttler"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// Watcher knows the ejected targets and takes evidence.
type Watcher interface {
	Ejections(service string) []ejector.Ejection
	RecordUnreachable(target, service string)
}

const (
	// suspectPause is how long a target is passed over after its gate refused a request because it is suspect.
	suspectPause = 300 * time.Millisecond
	// trialShare is the part of the requests that may be repeated which try a suspect target, if there is one.
	trialShare = 0.4
	// lostLifetime is how long the targets of a node that control lost may still be used.
	lostLifetime = 30 * time.Second
)

// chooser runs the router on what this node sees: the directory, its own requests in flight, the loads that gates report
// with their answers, and which nodes it reaches.
type chooser struct {
	name    string
	place   router.Locality
	router  router.Router
	log     *slog.Logger
	watcher Watcher
	useLost bool

	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[string]int
	reports  map[string]router.Report
	paths    map[string]monitor.Path
	suspects map[string]time.Time
	lost     map[string]time.Time
	highs    map[time.Duration]time.Duration
	means    map[time.Duration]time.Duration
	sizes    map[time.Duration]float64
	followed map[string]map[string]ejector.Ejection
	arrivals router.Warmups
	// prospects says for each service whether it has room in other regions.
	prospects map[string]throttler.Throttle

	// The rest is derived from view and made anew when that changes.
	view    *viewer.View
	fleet   router.FleetSize
	subsets map[string][]tracker.Placement
}

func newChooser(dependencies Dependencies) *chooser {
	return &chooser{
		name: dependencies.Name, place: dependencies.Locality, router: dependencies.Router,
		log: dependencies.RouteLog, watcher: dependencies.Watcher, useLost: dependencies.UseLost, random: dependencies.Random,
		inFlight: make(map[string]int), reports: make(map[string]router.Report), paths: make(map[string]monitor.Path),
		suspects: make(map[string]time.Time), lost: make(map[string]time.Time),
		highs: make(map[time.Duration]time.Duration), means: make(map[time.Duration]time.Duration),
		sizes: make(map[time.Duration]float64), followed: make(map[string]map[string]ejector.Ejection),
		prospects: make(map[string]throttler.Throttle),
	}
}

// choose picks a target for the request and counts it as in flight there until leave is called. Tried are the targets
// of the request's earlier attempts. A request that stays near goes to another region only if its own has no target.
// Targets that are suspect or that this node does not reach are chosen only for a request that insists.
func (c *chooser) choose(view *viewer.View, head forwarder.Head, near bool, tried ...string) (router.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.follow(now, view)
	if choice, ok := c.trial(now, view, head, tried); ok {
		return choice, nil
	}
	ejected := c.ejected(now, view, head.Service)
	candidates := c.candidates(now, view, head, ejected)
	prospect := c.prospects[head.Service]
	near = near || !prospect.Allow(now)
	request := router.Request{Repeatable: head.Repeatable, Tried: tried, LocalRegion: near}
	choice, err := c.router.Choose(now, c.random, request, candidates)
	if err != nil {
		return router.Choice{}, err
	}
	if c.far(choice.Placement) {
		c.prospects[head.Service] = prospect.WithAttempt(now)
	}
	c.inFlight[choice.Placement.Target.Name]++
	c.log.Info("target chosen", "request", head.ID, "workspace", head.Workspace, "service", head.Service,
		"target", choice.Placement.Target.Name, "node", choice.Placement.Node.Name, "candidates", len(candidates),
		"insists", head.AllowSuspect, "odds", prospect.SuccessRate(), "reason", choice.Reason)
	return choice, nil
}

// far reports whether a placement is in another region.
func (c *chooser) far(placement tracker.Placement) bool {
	return placement.Node.Region != c.place.Region
}

// trial picks a suspect target for some of the requests that may be repeated, so that it is seen when the target has
// recovered. Such a request is hedged early.
func (c *chooser) trial(now time.Time, view *viewer.View, head forwarder.Head, tried []string) (router.Choice, bool) {
	if !head.Hedged || len(tried) > 0 || c.random.Float64() >= trialShare {
		return router.Choice{}, false
	}
	var suspects []tracker.Placement
	for _, placement := range view.Directory.Placements(head.Service) {
		suspect := now.Before(c.suspects[placement.Target.Name]) && !placement.Target.Leaving
		if suspect && !c.far(placement) && !c.paths[placement.Node.Name].Avoided(now) {
			suspects = append(suspects, placement)
		}
	}
	if len(suspects) == 0 {
		return router.Choice{}, false
	}
	placement := suspects[c.random.IntN(len(suspects))]
	c.inFlight[placement.Target.Name]++
	const reason = "trial of a suspect target"
	c.log.Info("target chosen", "request", head.ID, "workspace", head.Workspace, "service", head.Service,
		"target", placement.Target.Name, "node", placement.Node.Name, "candidates", len(suspects), "reason", reason)
	return router.Choice{Placement: placement, Reason: reason, Trial: true}, true
}

func (c *chooser) candidates(
	now time.Time, view *viewer.View, head forwarder.Head, ejected map[string]ejector.Ejection,
) []router.Candidate {
	placements := c.subset(view, head.Service, ejected)
	if c.useLost {
		placements = append(slices.Clip(placements), c.reachable(now, view.Directory.Lost(head.Service))...)
	}
	candidates := make([]router.Candidate, 0, len(placements))
	for _, placement := range placements {
		name := placement.Target.Name
		avoided := c.paths[placement.Node.Name].Avoided(now) || now.Before(c.suspects[name])
		if avoided && !head.AllowSuspect {
			continue
		}
		candidates = append(candidates, router.Candidate{
			Placement: placement, Load: c.inFlight[name], Report: c.reports[name], Status: c.standing(ejected, name),
		})
	}
	return candidates
}

// reachable returns the placements on nodes that control lost not long ago.
func (c *chooser) reachable(now time.Time, placements []tracker.Placement) []tracker.Placement {
	var usable []tracker.Placement
	for _, placement := range placements {
		if since, ok := c.lost[placement.Node.Name]; ok && now.Sub(since) < lostLifetime {
			usable = append(usable, placement)
		}
	}
	return usable
}

// service draws one of the services of route by their weights.
func (c *chooser) service(route configurer.Route) string {
	if len(route.Splits) == 0 {
		return route.Service
	}
	total := 0
	for _, split := range route.Splits {
		total += split.Weight
	}
	c.mu.Lock()
	rest := c.random.IntN(total)
	c.mu.Unlock()
	for _, split := range route.Splits {
		if rest < split.Weight {
			return split.Service
		}
		rest -= split.Weight
	}
	return route.Splits[len(route.Splits)-1].Service
}

// subset returns the targets of service that this node uses. Others take the place of ejected ones.
func (c *chooser) subset(view *viewer.View, service string, ejected map[string]ejector.Ejection) []tracker.Placement {
	if subset, ok := c.subsets[service]; ok && len(ejected) == 0 {
		return subset
	}
	placements := view.Directory.Placements(service)
	if len(ejected) == 0 {
		c.subsets[service] = c.router.Subset(c.name, c.fleet, placements)
		return c.subsets[service]
	}
	return c.router.Subset(c.name, c.fleet, slices.DeleteFunc(slices.Clone(placements), func(p tracker.Placement) bool {
		entry, ok := ejected[p.Target.Name]
		return ok && entry.Phase == ejector.Out
	}))
}

// ejected returns the ejections of service that this node follows, within the floor as it sees it.
func (c *chooser) ejected(now time.Time, view *viewer.View, name string) map[string]ejector.Ejection {
	entries := c.watcher.Ejections(name)
	if len(entries) == 0 && len(c.followed[name]) == 0 {
		return nil
	}
	service, ok := view.Configuration.Service(name)
	if !ok {
		return nil
	}
	var present []ejector.Capacity
	slots := 0
	for _, placement := range view.Directory.Placements(name) {
		if !placement.Target.Leaving {
			present = append(present, ejector.Capacity{Target: placement.Target.Name, Slots: placement.Target.Slots})
			slots += placement.Target.Slots
		}
	}
	ejected := ejector.EnforceFloor(entries, present, service.FloorSlots(slots))
	for target := range c.followed[name] {
		if _, still := ejected[target]; !still {
			c.arrivals.RecordReturn(now, target)
		}
	}
	c.followed[name] = ejected
	return ejected
}

func (c *chooser) standing(ejected map[string]ejector.Ejection, target string) router.Status {
	entry, ok := ejected[target]
	switch {
	case !ok:
		return c.arrivals.Serving(target)
	case entry.Phase == ejector.Trial:
		return router.Trial{}
	default:
		return router.Ejected{}
	}
}

// follow takes a changed view over.
func (c *chooser) follow(now time.Time, view *viewer.View) {
	if view == c.view {
		return
	}
	nodes := view.Directory.Nodes()
	var serving []string
	reports := make(map[string]router.Report, len(c.reports))
	paths := make(map[string]monitor.Path, len(c.paths))
	for _, node := range nodes {
		paths[node.Name] = c.paths[node.Name]
		for _, target := range node.Targets {
			if node.Gone && !c.useLost || node.Leaving || target.Leaving {
				continue
			}
			serving = append(serving, target.Name)
			if report, ok := c.reports[target.Name]; ok {
				reports[target.Name] = report
			}
		}
	}
	c.arrivals.Update(now, serving)
	c.view, c.reports, c.paths, c.lost = view, reports, paths, c.lostSince(now, nodes)
	c.fleet = router.CountNodes(c.place, nodes)
	c.subsets = make(map[string][]tracker.Placement)
	for target, until := range c.suspects {
		if !now.Before(until) {
			delete(c.suspects, target)
		}
	}
}

// lostSince returns since when each node that control lost is known to be lost.
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

func (c *chooser) failPath(now time.Time, node string, cause error) {
	before := c.paths[node]
	c.paths[node] = before.WithFailure(now)
	if c.paths[node] != before {
		c.log.Info("path avoided", "node", node, "reason", cause.Error())
	}
}

// way returns how to reach the node of placement.
func (c *chooser) way(placement tracker.Placement, relays func() []string) forwarder.Destination {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := placement.Node.Name
	return forwarder.Destination{
		Address: placement.Node.Address, Relays: relays, ResponseTimeout: c.paths[name].Timeout(),
		OnFirstResponse: func(trip time.Duration) { c.reach(name, trip) },
	}
}

func (c *chooser) reach(node string, trip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.paths[node].Avoided(now) {
		c.log.Info("path used again", "node", node, "trip", trip)
	}
	c.paths[node] = c.paths[node].WithSuccess(now, trip)
}

// leave ends the count of a request in flight.
func (c *chooser) leave(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[target]--
	if c.inFlight[target] == 0 {
		delete(c.inFlight, target)
	}
}

// order returns the numbers below n in random order.
func (c *chooser) order(n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Perm(n)
}
