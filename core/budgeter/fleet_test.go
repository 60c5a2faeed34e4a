package budgeter_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/retrier"
)

// The limit of the whole fleet, and the parts of it that each node and the shared budget spend.
const (
	fleetRatio  = 0.2
	fleetSlack  = 62.0
	fleetWindow = 10 * time.Second
	nodeShare   = 0.25
	sharedShare = 0.6

	reportInterval = time.Second
	fleetDuration  = 60 * time.Second
)

// caller and callee are the services. Runs of caller call callee.
const (
	caller = "bookings"
	callee = "catalogue"
)

// conditions is what a fleet runs under. hang is the fraction of attempts that hang, and calls the number of calls that
// each other run of caller makes. A granted attempt reaches its target up to delay later. The holder of the shared budget
// is replaced every moveEvery, and a node every restartEvery, if these are set. lost is the fraction of reports that do not
// arrive. Each stepEvery the time of day of half of the nodes steps forward by clockStep, and back a while later.
type conditions struct {
	name         string
	nodes        int
	callerRate   float64
	calleeRate   float64
	hang         float64
	calls        int
	delay        time.Duration
	moveEvery    time.Duration
	restartEvery time.Duration
	lost         float64
	stepEvery    time.Duration
}

// clockStep is by how much the time of day steps.
const clockStep = 4 * time.Second

// scheduled is something that happens in a fleet at a time.
type scheduled struct {
	at time.Time
	do func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is one entry with the target beside it.
type node struct {
	retrier *retrier.Retrier
	tally   *budgeter.Tally
	runs    budgeter.Runs
	step    time.Duration
}

// simulation runs the budgets of a fleet in virtual time. It records the arrivals at targets that the limit counts as
// extra, and the requests.
type simulation struct {
	conditions

	random   *rand.Rand
	now      time.Time
	queue    eventQueue
	nodes    []*node
	ledger   *budgeter.Ledger
	requests map[string][]time.Time
	extra    map[string][]time.Time
	granted  int
}

func newSimulation(conditions conditions, seed uint64) *simulation {
	s := &simulation{
		conditions: conditions, random: rand.New(rand.NewPCG(seed, 1)), now: start,
		requests: make(map[string][]time.Time), extra: make(map[string][]time.Time),
	}
	s.replaceLedger()
	for i := range conditions.nodes {
		s.nodes = append(s.nodes, nil)
		s.replaceNode(i)
		s.every(reportInterval, func() { _ = s.report(s.nodes[i]) })
	}
	s.arrive(caller, conditions.callerRate)
	s.arrive(callee, conditions.calleeRate)
	if conditions.moveEvery > 0 {
		s.every(conditions.moveEvery, s.replaceLedger)
	}
	if conditions.restartEvery > 0 {
		s.every(conditions.restartEvery, func() { s.replaceNode(s.random.IntN(conditions.nodes)) })
	}
	if conditions.stepEvery > 0 {
		s.every(conditions.stepEvery, s.stepClocks)
	}
	return s
}

func (s *simulation) stepClocks() {
	for i, n := range s.nodes {
		if i%2 == 0 {
			n.step = clockStep
			s.after(clockStep, func() { n.step = 0 })
		}
	}
}

func (s *simulation) replaceLedger() {
	s.ledger = budgeter.NewLedger(budgeter.Allowance{
		Ratio: sharedShare * fleetRatio, Slack: sharedShare * fleetSlack, Window: fleetWindow,
	})
}

func (s *simulation) replaceNode(i int) {
	policy := retrier.Policy{FreeRetries: 8, Allowance: retrier.Allowance{
		Ratio: nodeShare * fleetRatio, Slack: nodeShare * fleetSlack / float64(s.conditions.nodes), Window: fleetWindow,
	}}
	s.nodes[i] = &node{
		retrier: retrier.NewWith(func() retrier.Policy { return policy }), tally: budgeter.NewTally(),
	}
}

func (s *simulation) after(delay time.Duration, do func()) {
	heap.Push(&s.queue, scheduled{s.now.Add(delay), do})
}

func (s *simulation) every(interval time.Duration, do func()) {
	s.after(time.Duration(s.random.Int64N(int64(interval))), func() {
		do()
		s.repeat(interval, do)
	})
}

func (s *simulation) repeat(interval time.Duration, do func()) {
	s.after(interval, func() {
		do()
		s.repeat(interval, do)
	})
}

func (s *simulation) run() {
	for len(s.queue) > 0 && s.now.Before(start.Add(fleetDuration)) {
		next := heap.Pop(&s.queue).(scheduled)
		s.now = next.at
		next.do()
	}
}

// arrive sends callers' requests of service to random nodes at rate per second.
func (s *simulation) arrive(service string, rate float64) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		s.requests[service] = append(s.requests[service], s.now)
		s.count(n, budgeter.Request{Service: service, Repeatable: true})
		s.send(n, service, 0)
		s.arrive(service, rate)
	})
}

// count counts a request at its entry, as the acceptor does.
func (s *simulation) count(n *node, request budgeter.Request) {
	n.retrier.CountRequest(s.now.Add(n.step), request.Service, request.Repeat)
	n.tally.CountRequest(request)
}

// send sends a request of service from n. After a time without answer it is sent to a second target, if a budget pays for
// that. repeat is the probability that the request is itself a call of a repeat.
func (s *simulation) send(n *node, service string, repeat float64) {
	answered := s.start(service, repeat)
	hedgeAfter := time.Second
	if service == callee {
		hedgeAfter = 250 * time.Millisecond
	}
	s.after(hedgeAfter, func() {
		if *answered || !s.pay(n, service) {
			return
		}
		s.after(time.Duration(s.random.Int64N(int64(s.delay)+1)), func() {
			s.extra[service] = append(s.extra[service], s.now)
			s.start(service, 1)
		})
	})
}

// pay reports whether the budget of n or the shared one pays for an extra attempt.
func (s *simulation) pay(n *node, service string) bool {
	now := s.now.Add(n.step)
	attempt := retrier.Attempt{Service: service, Number: 1, Reached: 1, Repeatable: true, Deadline: now.Add(time.Second)}
	if _, ok := n.retrier.Decide(now, retrier.Slow{}, attempt).(retrier.Retry); ok {
		return true
	}
	if !s.report(n) {
		return false
	}
	granted, _ := s.ledger.Acquire(s.now, budgeter.Extra{Service: service})
	if granted {
		s.granted++
	}
	return granted
}

// start starts a run on the target beside a random node. answered is set when it ends; a run that hangs never does.
func (s *simulation) start(service string, repeat float64) (answered *bool) {
	answered = new(bool)
	n := s.nodes[s.random.IntN(len(s.nodes))]
	n.runs = n.runs.WithStart(repeat)
	if s.random.Float64() < s.hang {
		s.after(3*time.Second, func() { n.runs = n.runs.WithEnd(repeat) })
		return answered
	}
	if service == caller {
		for i := range s.calls {
			s.after(time.Duration(i+1)*100*time.Millisecond, func() { s.call(n, repeat) })
		}
	}
	s.after(500*time.Millisecond, func() {
		*answered = true
		n.runs = n.runs.WithEnd(repeat)
	})
	return answered
}

// call sends a call of a run on the target beside n. That the run is a repeat is known to the limit, but not to n.
func (s *simulation) call(n *node, repeat float64) {
	if repeat == 1 {
		s.extra[callee] = append(s.extra[callee], s.now)
	} else {
		s.requests[callee] = append(s.requests[callee], s.now)
	}
	s.count(n, budgeter.Request{Service: callee, Caller: caller, Repeatable: true, Repeat: n.runs.RepeatFraction()})
	s.send(n, callee, repeat)
}

// report sends what n has counted, and reports whether it arrived.
func (s *simulation) report(n *node) bool {
	report := n.tally.Take()
	if s.random.Float64() < s.lost {
		return false
	}
	s.ledger.Apply(s.now, report)
	return true
}

// checkLimit checks the limit as it is counted at targets: in each window, the extra arrivals against the requests of that
// window, of the one before it or of the one half a window before it.
func (s *simulation) checkLimit(t *testing.T, service string) {
	t.Helper()
	before := func(times []time.Time, end time.Time) int {
		i, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
		return i
	}
	within := func(times []time.Time, from time.Time) int {
		return before(times, from.Add(fleetWindow)) - before(times, from)
	}
	worst, worstAt := 0.0, time.Duration(0)
	for _, from := range s.extra[service] {
		requests := 0
		for _, back := range []time.Duration{0, fleetWindow / 2, fleetWindow} {
			requests = max(requests, within(s.requests[service], from.Add(-back)))
		}
		if share := float64(within(s.extra[service], from)) / (fleetRatio*float64(requests) + fleetSlack); share > worst {
			worst, worstAt = share, from.Sub(start)
		}
	}
	t.Logf("%s: %d extra arrivals, at most %.3f of what is allowed, at %v", service, len(s.extra[service]), worst, worstAt)
	assert.Check(t, worst <= 1, "%s: %.3f of what is allowed from %v on", service, worst, worstAt)
}

// TestCallsOfRepeatsExceedTheLimit counts the arrivals at the targets of a whole fleet.
func TestCallsOfRepeatsExceedTheLimit(t *testing.T) {
	cases := []conditions{
		{name: "small", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.3, calls: 2},
		{name: "large", nodes: 83, callerRate: 300, calleeRate: 85, hang: 0.3, calls: 1},
		{name: "many calls", nodes: 20, callerRate: 40, calleeRate: 5, hang: 0.5, calls: 4},
		{name: "no calls", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.5},
		{name: "late arrivals", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.4, calls: 1, delay: time.Second},
		{name: "holder moves", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.4, calls: 1, moveEvery: 7 * time.Second},
		{name: "nodes restart", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.4, calls: 1, restartEvery: 300 * time.Millisecond},
		{name: "reports lost", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.4, calls: 2, lost: 0.5},
		{name: "clocks step", nodes: 20, callerRate: 40, calleeRate: 15, hang: 0.4, calls: 2, stepEvery: 7 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newSimulation(c, seed)
				s.run()
				s.checkLimit(t, caller)
				s.checkLimit(t, callee)
				assert.Assert(t, s.granted > 0, "the shared budget granted nothing")
			}
		})
	}
}
