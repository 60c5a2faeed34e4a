package budgeter

// Tally is what a node has counted and not yet reported.
type Tally struct {
	report Report
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{newReport()} }

func newReport() Report {
	return Report{Requests: make(map[string]RequestCount), Calls: make(map[Edge]CallCount)}
}

// Request is a new request as the budgets count it. Caller is the service whose target sent it, or empty if a caller of
// the fleet did. Repeat is the probability that a run which is a repeat has sent it: the limits count such a call among
// the extra attempts, and not among the requests.
type Request struct {
	Service    string
	Caller     string
	Repeatable bool
	Repeat     float64
}

// CountRequest counts request.
func (t *Tally) CountRequest(request Request) {
	count := t.report.Requests[request.Service]
	count.Requests += 1 - request.Repeat
	if request.Repeatable {
		count.Repeatable++
	}
	t.report.Requests[request.Service] = count
	if request.Caller == "" {
		return
	}
	edge := Edge{request.Caller, request.Service}
	calls := t.report.Calls[edge]
	calls.Calls++
	calls.Repeats += request.Repeat
	t.report.Calls[edge] = calls
}

// Take returns what was counted and begins anew.
func (t *Tally) Take() Report {
	report := t.report
	t.report = newReport()
	return report
}

// Empty reports whether nothing was counted.
func (t *Tally) Empty() bool { return len(t.report.Requests) == 0 }
