// Package escalator decides how each further try of a request looks for a target: first for a free slot nearby, then for
// one in the other region, then for the shortest wait, and at last for any target that is left.
//
// The load pattern that it answers: more requests than free slots, with slots free at moments on targets that an entry
// knows as full. A request that waits at the first target misses them, and one that crosses to the other region at once
// pays for the link, though a slot nearby would have come free.
package escalator

// Scope says where a try may look. Near keeps it in the own region, if that has targets at all. Immediate takes only a slot
// that is free now. Insist also takes targets that are suspect or were not reached before.
type Scope struct {
	LocalRegion  bool
	Immediate    bool
	AllowSuspect bool
}

// stage is a number of tries that look alike. In a stage that starts anew, targets that refused earlier may be tried
// again.
type stage struct {
	scope        Scope
	maxAttempts  int
	retryRefused bool
}

// The stages of requests with an objective. Heavy answers do not cross regions while the own region has any target.
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

// Plan is the state of one request. It is immutable.
type Plan struct {
	stages   []stage
	stage    int
	attempts int
}

// New returns the plan of a request whose route states an objective. Heavy says that its answer is large.
func New(heavy bool) Plan {
	if heavy {
		return Plan{stages: heavyStages}
	}
	return Plan{stages: lightStages}
}

// NewDefault returns the plan of a request whose route states no objective: nothing is known of how long it may wait.
func NewDefault() Plan { return Plan{stages: defaultStages} }

// Scope returns how the next try looks.
func (p Plan) Scope() Scope { return p.stages[p.stage].scope }

// WithAttempt returns the plan after one more try, and whether targets that refused earlier may be tried again.
func (p Plan) WithAttempt() (next Plan, anew bool) {
	p.attempts++
	if p.attempts < p.stages[p.stage].maxAttempts || p.stage == len(p.stages)-1 {
		return p, false
	}
	return p.nextStage()
}

// WithoutTarget returns the plan after a try found no target, and whether targets that refused earlier may be tried
// again. Last says that nothing is left to look for.
func (p Plan) WithoutTarget() (next Plan, anew, last bool) {
	if p.stage == len(p.stages)-1 {
		return p, false, true
	}
	next, anew = p.nextStage()
	return next, anew, false
}

func (p Plan) nextStage() (Plan, bool) {
	p.stage++
	p.attempts = 0
	return p, p.stages[p.stage].retryRefused
}
