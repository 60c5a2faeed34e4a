package acceptor

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/carrier"
	"samphiremount.example/node/pkg/viewer"
)

// chooser runs the router on what this node sees: the directory, its own requests in flight and the loads that gates
// report with their answers.
type chooser struct {
	name   string
	place  router.Place
	router router.Router
	log    *slog.Logger

	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[string]int
	reports  map[string]router.Report
	arrivals router.Arrivals

	// The rest is derived from view and made anew when that changes.
	view    *viewer.View
	fleet   router.Fleet
	subsets map[string][]tracker.Placement
}

func newChooser(dependencies Dependencies) *chooser {
	return &chooser{
		name: dependencies.Name, place: dependencies.Place, router: router.New(dependencies.Place),
		log: dependencies.Route, random: dependencies.Random,
		inFlight: make(map[string]int), reports: make(map[string]router.Report),
	}
}

// choose picks a target for the request and counts it as in flight there until leave is called. Tried are the targets
// of the request's earlier attempts.
func (c *chooser) choose(view *viewer.View, head carrier.Head, tried ...string) (router.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.follow(now, view)
	subset, ok := c.subsets[head.Service]
	if !ok {
		subset = c.router.Subset(c.name, c.fleet, view.Directory.Placements(head.Service))
		c.subsets[head.Service] = subset
	}
	candidates := make([]router.Candidate, 0, len(subset))
	for _, placement := range subset {
		name := placement.Target.Name
		candidates = append(candidates, router.Candidate{
			Placement: placement, Load: c.inFlight[name], Report: c.reports[name], Standing: c.arrivals.Serving(name),
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
		if refuser.From(err).Kind == refuser.CapacityShort {
			c.reports[target.Name] = router.Report{InFlight: target.Slots, At: time.Now()}
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
