// Package escalator decides in which scope each attempt of a request looks for a target: first for a free slot in the
// local region, then for one in a remote region, then for a target to wait at, and last for any target, even a suspect
// one.
//
// The package is designed for the case that there are more requests than free slots, while slots keep becoming free on
// targets that an entry believes to be full. A request that waits at the first target would miss these slots. A request
// that goes to a remote region at once would use the expensive link, although a slot in the local region would have
// become free.
package escalator

// Scope restricts the targets of an attempt. LocalRegion keeps it in the local region if that has any target. Immediate
// accepts only a slot that is free now, without waiting. AllowSuspect also accepts targets that are suspect or that could
// not be reached before.
type Scope struct {
	LocalRegion  bool
	Immediate    bool
	AllowSuspect bool
}

// stage is a sequence of attempts with the same scope. If retryRefused is set, targets that refused the request in
// earlier stages may be tried again.
type stage struct {
	scope        Scope
	maxAttempts  int
	retryRefused bool
}

// lightStages and heavyStages are for requests with an objective, defaultStages for those without. Heavy requests, with large
// bodies or answers, do not cross regions while the local region has any target.
var (
	lightStages = []stage{
		{scope: Scope{LocalRegion: true, Immediate: true}, maxAttempts: 3},
		{scope: Scope{Immediate: true}, maxAttempts: 1},
		{scope: Scope{LocalRegion: true}, maxAttempts: 2, retryRefused: true},
		{scope: Scope{AllowSuspect: true}, maxAttempts: 2, retryRefused: true},
	}
	heavyStages = []stage{
		{scope: Scope{LocalRegion: true, Immediate: true}, maxAttempts: 3},
		{scope: Scope{LocalRegion: true}, maxAttempts: 3, retryRefused: true},
		{scope: Scope{LocalRegion: true, AllowSuspect: true}, maxAttempts: 2, retryRefused: true},
	}
	defaultStages = []stage{
		{scope: Scope{}, maxAttempts: 1 << 10},
		{scope: Scope{AllowSuspect: true}, maxAttempts: 1 << 10, retryRefused: true},
	}
)

// Plan is the position of one request in its stages. It is immutable.
type Plan struct {
	heavy    bool
	stages   []stage
	stage    int
	attempts int
}

// New returns the plan of a request whose route has an objective. heavy is set if its body or its answer is large.
func New(heavy bool) Plan {
	if heavy {
		return Plan{heavy: true, stages: heavyStages}
	}
	return Plan{stages: lightStages}
}

// NewDefault returns the plan of a request whose route has no objective, so that it is not known how long it may wait.
func NewDefault() Plan { return Plan{stages: defaultStages} }

// Heavy reports whether the request does not cross regions while the local region has any target.
func (p Plan) Heavy() bool { return p.heavy }

// Scope returns the scope of the next attempt.
func (p Plan) Scope() Scope { return p.stages[p.stage].scope }

// WithAttempt returns the plan after one more attempt, and whether targets that refused earlier may now be tried again.
func (p Plan) WithAttempt() (next Plan, retryRefused bool) {
	p.attempts++
	if p.attempts < p.stages[p.stage].maxAttempts || p.stage == len(p.stages)-1 {
		return p, false
	}
	return p.nextStage()
}

// WithoutTarget returns the plan after an attempt found no target in its scope, and whether targets that refused earlier
// may now be tried again. last is set if there is no further stage.
func (p Plan) WithoutTarget() (next Plan, retryRefused, last bool) {
	if p.stage == len(p.stages)-1 {
		return p, false, true
	}
	next, retryRefused = p.nextStage()
	return next, retryRefused, false
}

func (p Plan) nextStage() (Plan, bool) {
	p.stage++
	p.attempts = 0
	return p, p.stages[p.stage].retryRefused
}
