package budgeter

import "time"

// Report is what a node has counted since its previous report. Requests and Calls are by service.
type Report struct {
	Requests map[string]RequestCount
	Calls    map[Edge]CallCount
}

// Edge names two services. Targets of Caller call Callee.
type Edge struct {
	Caller string `cbor:"1,keyasint"`
	Callee string `cbor:"2,keyasint"`
}

// RequestCount counts requests of one service that are no repeats. Repeatable are those that may be sent again, calls of
// repeats included.
type RequestCount struct {
	Requests   float64 `cbor:"1,keyasint,omitempty"`
	Repeatable float64 `cbor:"2,keyasint,omitempty"`
}

// CallCount counts calls. Repeats is the expected number of those that a repeat has made.
type CallCount struct {
	Calls   float64 `cbor:"1,keyasint,omitempty"`
	Repeats float64 `cbor:"2,keyasint,omitempty"`
}

// Ledger holds the buckets of all services, for the control process that keeps the budget of the fleet.
//
// The limit of a service counts the calls that repeats of other services make to it, and a call cannot be refused once
// its caller runs. So an extra attempt takes, beside a token of its own service, a token for each call that its run is
// expected to make, from the services that it calls. Calls of repeats that were not paid for in advance become a debt.
type Ledger struct {
	allowance  Allowance
	buckets    map[string]Bucket
	repeatable map[string]recentCount
	edges      map[Edge]edgeState
}

// edgeState is what is known of the calls over an edge. prepaid are tokens that were taken for calls to come, and expire
// like the count of calls does.
type edgeState struct {
	calls   recentCount
	prepaid recentCount
}

// NewLedger returns a ledger with empty buckets, which grants within allowance for each service.
func NewLedger(allowance Allowance) *Ledger {
	return &Ledger{
		allowance: allowance, buckets: make(map[string]Bucket), repeatable: make(map[string]recentCount), edges: make(map[Edge]edgeState),
	}
}

// Apply records a node's report at now.
func (l *Ledger) Apply(now time.Time, report Report) {
	for service, count := range report.Requests {
		l.buckets[service] = l.buckets[service].WithRequests(now, l.allowance, max(count.Requests, 0))
		l.repeatable[service] = l.repeatable[service].with(now, l.allowance.Window, max(count.Repeatable, 0))
	}
	for edge, count := range report.Calls {
		state := l.edges[edge]
		state.calls = state.calls.with(now, l.allowance.Window, max(count.Calls, 0))
		var unpaid float64
		state.prepaid, unpaid = state.prepaid.with(now, l.allowance.Window, 0).less(max(count.Repeats, 0))
		l.edges[edge] = state
		bucket := l.buckets[edge.Callee].WithRequests(now, l.allowance, 0)
		l.buckets[edge.Callee] = bucket.WithCharge(l.allowance, unpaid)
	}
}

// Extra is an extra attempt of Service. Hedge is set if it is to run beside an attempt that is only slow.
type Extra struct {
	Service string
	Hedge   bool
}

// The fractions of the most that a bucket holds which an extra attempt must leave: one of a service that makes calls in the
// buckets of the called services, whose own retries cost less and save such an attempt; and a hedge in all buckets, since most
// hedged requests would have been served. The values are chosen, not derived.
const (
	callsReserve = 0.25
	hedgeReserve = 0.5
)

// reserve returns the tokens that extra must leave in the bucket of payer.
func (l *Ledger) reserve(extra Extra, payer string) float64 {
	capacity := maxHeldFraction * l.allowance.Slack
	switch {
	case extra.Hedge:
		return hedgeReserve * capacity
	case payer != extra.Service:
		return callsReserve * capacity
	default:
		return 0
	}
}

// Acquire takes the tokens for extra at now. If a service lacks them, it takes none and returns that service.
func (l *Ledger) Acquire(now time.Time, extra Extra) (granted bool, lacking string) {
	service, costs := extra.Service, l.costs(now, extra.Service)
	for payer, cost := range costs {
		if !l.buckets[payer].holds(now, l.allowance, cost+l.reserve(extra, payer)) {
			return false, payer
		}
	}
	for payer, cost := range costs {
		l.buckets[payer], _ = l.buckets[payer].Acquire(now, l.allowance, cost)
	}
	for edge, state := range l.edges {
		if edge.Caller == service {
			state.prepaid = state.prepaid.with(now, l.allowance.Window, l.callsPerRun(now, edge))
			l.edges[edge] = state
		}
	}
	return true, ""
}

// costs returns the tokens that an extra attempt of service takes from the bucket of each service.
func (l *Ledger) costs(now time.Time, service string) map[string]float64 {
	costs := map[string]float64{service: 1}
	for edge := range l.edges {
		if edge.Caller == service {
			costs[edge.Callee] += l.callsPerRun(now, edge)
		}
	}
	return costs
}

// callsPerRun returns the expected number of calls over edge that a repeatable run of its caller makes. All calls are
// taken for those of repeatable runs.
func (l *Ledger) callsPerRun(now time.Time, edge Edge) float64 {
	window := l.allowance.Window
	calls := l.edges[edge].calls.with(now, window, 0).sum()
	return calls / max(l.repeatable[edge.Caller].with(now, window, 0).sum(), 1)
}

// Level returns the tokens of service at its last update. It is negative if more attempts were charged than granted.
func (l *Ledger) Level(service string) float64 { return l.buckets[service].level }
