package acceptor

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/carrier"
	"samphiremount.example/node/pkg/viewer"
)

// Watcher knows the ejected targets and takes evidence.
type Watcher interface {
	Ejections(service string) []ejector.Entry
	Unreached(target, service string)
}

// chooser runs the router on what this node sees: the directory, its own requests in flight and the loads that gates
// report with their answers.
type chooser struct {
	name    string
	place   router.Place
	router  router.Router
	log     *slog.Logger
	watcher Watcher

	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[string]int
	reports  map[string]router.Report
	followed map[string]map[string]ejector.Entry
	arrivals router.Arrivals

	// The rest is derived from view and made anew when that changes.
	view    *viewer.View
	fleet   router.Fleet
	subsets map[string][]tracker.Placement
}

func newChooser(dependencies Dependencies) *chooser {
	return &chooser{
		name: dependencies.Name, place: dependencies.Place, router: router.New(dependencies.Place),
		log: dependencies.Route, watcher: dependencies.Watcher, random: dependencies.Random,
		inFlight: make(map[string]int), reports: make(map[string]router.Report),
		followed: make(map[string]map[string]ejector.Entry),
	}
}

// choose picks a target for the request and counts it as in flight there until leave is called. Tried are the targets
// of the request's earlier attempts.
func (c *chooser) choose(view *viewer.View, head carrier.Head, tried ...string) (router.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.follow(now, view)
	ejected := c.ejected(now, view, head.Service)
	subset := c.subset(view, head.Service, ejected)
	candidates := make([]router.Candidate, 0, len(subset))
	for _, placement := range subset {
		name := placement.Target.Name
		candidates = append(candidates, router.Candidate{
			Placement: placement, Load: c.inFlight[name], Report: c.reports[name], Standing: c.standing(ejected, name),
		})
	}
	request := router.Request{Repeatable: head.Repeatable, Tried: tried}
	choice, err := c.router.Choose(now, c.random, request, candidates)
	if err != nil {
		return router.Choice{}, err
	}
	c.inFlight[choice.Placement.Target.Name]++
	c.log.Info("target chosen", "request", head.ID, "workspace", head.Workspace, "service", head.Service,
		"target", choice.Placement.Target.Name, "node", choice.Placement.Node.Name, "reason", choice.Reason)
	return choice, nil
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
func (c *chooser) subset(view *viewer.View, service string, ejected map[string]ejector.Entry) []tracker.Placement {
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
func (c *chooser) ejected(now time.Time, view *viewer.View, name string) map[string]ejector.Entry {
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
	ejected := ejector.Enforce(entries, present, service.FloorOf(slots))
	for target := range c.followed[name] {
		if _, still := ejected[target]; !still {
			c.arrivals.Return(now, target)
		}
	}
	c.followed[name] = ejected
	return ejected
}

func (c *chooser) standing(ejected map[string]ejector.Entry, target string) router.Standing {
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
	for _, node := range nodes {
		for _, target := range node.Targets {
			if node.Gone || node.Leaving || target.Leaving {
				continue
			}
			serving = append(serving, target.Name)
			if report, ok := c.reports[target.Name]; ok {
				reports[target.Name] = report
			}
		}
	}
	c.arrivals.Update(now, serving)
	c.view, c.reports = view, reports
	c.fleet = router.Count(c.place, nodes)
	c.subsets = make(map[string][]tracker.Placement)
}

// observe takes what an attempt's end tells of the target's load.
func (c *chooser) observe(target tracker.Target, answer carrier.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		switch refuser.From(err).Kind {
		case refuser.CapacityShort:
			c.reports[target.Name] = router.Report{InFlight: target.Slots, At: time.Now()}
		case refuser.NodeUnreachable:
			c.watcher.Unreached(target.Name, target.Service)
		default:
		}
		return
	}
	if busy, err := strconv.Atoi(answer.Header.Get(carrier.HeaderBusy)); err == nil {
		// The answer's own slot is about to be free again.
		c.reports[target.Name] = router.Report{InFlight: max(busy-1, 0), At: time.Now()}
	}
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
