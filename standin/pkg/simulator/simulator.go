package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/coordinator"
	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/router"
	"samphiremount.example/core/sampler"
	"samphiremount.example/core/tracker"
)

const (
	service = "service"
	step    = 10 * time.Millisecond

	reportPeriod = time.Second
	roundPeriod  = 500 * time.Millisecond
	// settling is the time until the control processes have a holder of the lease on ejections.
	settling  = 10 * time.Second
	slowStart = 3 * time.Second

	windowLength = 2 * time.Second
	windowStep   = 500 * time.Millisecond
)

// localities are the data centres that nodes are distributed over in turn.
var localities = []router.Locality{
	{Region: "north", Centre: "north-1"},
	{Region: "south", Centre: "south-1"},
	{Region: "north", Centre: "north-2"},
	{Region: "south", Centre: "south-2"},
}

// simulation is the state of a run.
type simulation struct {
	settings   Settings
	random     *rand.Rand
	started    time.Time
	now        time.Time
	lastID     int
	gates      []*gate
	entries    []*entry
	controls   []*coordinator.Coordinator
	placements []tracker.Placement
	capacities []ejector.Capacity
	index      map[string]int
	running    []*attempt
	requests   []*request
	open       []*request
	// ejected holds, for each target, the rounds in which the list of the holder named it.
	ejected map[string][]time.Time
}

// Run plays a run and returns its windows, in order. Two runs with equal settings are equal.
func Run(settings Settings) []Window {
	s := newSimulation(settings)
	for s.now.Before(s.started.Add(settings.Length)) {
		s.step()
	}
	return s.windows()
}

func newSimulation(settings Settings) *simulation {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), started: start.Add(settling), now: start,
		index: make(map[string]int), ejected: make(map[string][]time.Time),
	}
	for i := range settings.Targets {
		locality, name := localities[i%len(localities)], fmt.Sprint("target", i)
		node := tracker.Node{Name: fmt.Sprint("node", i), Region: locality.Region, Centre: locality.Centre}
		s.index[name] = i
		s.placements = append(s.placements, placement(name, node, settings.Slots))
		s.capacities = append(s.capacities, ejector.Capacity{Target: name, Slots: settings.Slots})
		s.gates = append(s.gates, &gate{
			name: name, breaker: breaker.New(), recorder: observer.NewRecorder(),
			spellStart: start.Add(time.Duration(s.random.Int64N(int64(settings.Period)))),
		})
	}
	for i := range settings.Nodes {
		s.entries = append(s.entries, &entry{
			router:   router.New(localities[i%len(localities)]).WithRegionalTier().WithSlowStart(slowStart),
			inFlight: make([]int, settings.Targets), suspectUntil: make([]time.Time, settings.Targets),
			trials: make(map[string]sampler.Pace),
		})
		s.entries[i].warmups.Update(start, nil)
	}
	for i := range settings.Controls {
		var peers []string
		for j := range settings.Controls {
			if j != i {
				peers = append(peers, control(j))
			}
		}
		method := detector.NewSequential(detector.Caroni)
		s.controls = append(s.controls, coordinator.New(start, control(i), peers, method, uint64(i+1)<<32))
	}
	return s
}

func control(i int) string { return fmt.Sprint("control", i) }

// floor returns the floor of the service in slots.
func (s *simulation) floor(_ string, slots int) int {
	return int(math.Ceil(s.settings.Floor * float64(slots)))
}

// isDue reports whether something that happens once in each period is due in this step. The phase spreads several such
// things over the period.
func (s *simulation) isDue(period time.Duration, phase, phases int) bool {
	offset := time.Duration(phase) * period / time.Duration(phases) / step * step
	return s.now.Sub(s.started.Add(offset))%period == 0
}

func (s *simulation) step() {
	s.now = s.now.Add(step)
	for i := range s.entries {
		if s.isDue(reportPeriod, i, len(s.entries)) {
			s.report(i)
		}
	}
	if s.isDue(roundPeriod, 0, 1) {
		s.runRounds()
	}
	for _, ended := range s.running {
		if !ended.end.IsZero() && !s.now.Before(ended.end) {
			s.end(ended)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(a *attempt) bool { return a.end.IsZero() })
	for _, r := range s.open {
		r.hedge(s)
	}
	s.open = slices.DeleteFunc(s.open, func(r *request) bool { return r.done })
	if s.now.Before(s.started) {
		return
	}
	for s.random.Float64() < s.settings.Rate*step.Seconds()/(1+s.settings.Rate*step.Seconds()) {
		s.arrive()
	}
}

// arrive sends a new request of a caller.
func (s *simulation) arrive() {
	r := &request{
		entry: s.entries[s.random.IntN(len(s.entries))], repeatable: s.random.Float64() < s.settings.Repeatable,
		begun: s.now, deadline: s.now.Add(s.settings.Timeout),
	}
	s.follow(r.entry)
	s.send(r, !r.repeatable)
	r.done = len(r.attempts) == 0
	s.requests = append(s.requests, r)
	s.open = append(s.open, r)
}

// report sends the report of a node to a control process, and takes over the list that this returns.
func (s *simulation) report(node int) {
	var digests []observer.Digest
	if node < len(s.gates) {
		digest := observer.Digest{}
		for _, taken := range s.gates[node].recorder.Take(s.now) {
			digest = taken
		}
		digest.Target, digest.Service, digest.Slots = s.gates[node].name, service, s.settings.Slots
		digests = append(digests, digest)
	}
	e := s.entries[node]
	e.ejections, e.listDeadline = s.controls[node%len(s.controls)].Observe(s.now, digests)
}

// runRounds runs a round of all control processes.
func (s *simulation) runRounds() {
	for i, candidate := range s.controls {
		if !candidate.ShouldRequest(s.now) {
			continue
		}
		for j, voter := range s.controls {
			if j != i {
				candidate.HandleReply(control(j), s.now, voter.HandleRequest(s.now, candidate.Request(s.now, control(j))))
			}
		}
		if !candidate.Holds(s.now) {
			candidate.StepDown(s.now, s.now.Add(time.Duration(s.random.Int64N(int64(time.Second)))))
			continue
		}
		candidate.RunRound(s.now, s.floor)
		list, _ := candidate.Observe(s.now, nil)
		for _, ejection := range list {
			s.ejected[ejection.Target] = append(s.ejected[ejection.Target], s.now)
		}
	}
}

// windows returns the windows of the run. Those at its end, whose requests may still run, are left out.
func (s *simulation) windows() []Window {
	var windows []Window
	end := s.settings.Length - s.settings.Timeout - windowLength
	for at := windowLength; at <= end; at += windowStep {
		from, to := s.started.Add(at), s.started.Add(at+windowLength)
		window := Window{Start: at}
		for _, r := range s.requests {
			if within(r.begun, from, to) {
				window.Requests++
				if !r.served {
					window.Unserved++
				}
			}
		}
		for _, g := range s.gates {
			used := slices.ContainsFunc(g.starts, func(t time.Time) bool { return within(t, from, to) })
			if !slices.ContainsFunc(g.failures, func(t time.Time) bool { return within(t, from.Add(-windowLength), to) }) {
				window.Healthy++
				if used {
					window.Used++
				}
			}
			if !used && slices.ContainsFunc(s.ejected[g.name], func(t time.Time) bool { return within(t, from, to) }) {
				window.Ejected++
			}
		}
		windows = append(windows, window)
	}
	return windows
}

func within(t, from, to time.Time) bool { return !t.Before(from) && t.Before(to) }
