// Package escalator decides how each further try of a request looks for a target: first for a free slot nearby, then for
// one in the other region, then for the shortest wait, and at last for any target that is left.
//
// The load pattern that it answers: more requests than free slots, with slots free at moments on targets that an entry
// knows as full. A request that waits at the first target misses them, and one that crosses to the other region at once
// pays for the link, though a slot nearby would have come free.
package escalator

// Try says where a try may look. Near keeps it in the own region, if that has targets at all. Immediate takes only a slot
// that is free now. Insist also takes targets that are suspect or were not reached before.
type Try struct {
	Near      bool
	Immediate bool
	Insist    bool
}

// stage is a number of tries that look alike. In a stage that starts anew, targets that refused earlier may be tried
// again.
type stage struct {
	try   Try
	tries int
	anew  bool
}

// The stages of requests with an objective. Heavy answers do not cross regions while the own region has any target.
var (
	lightStages = []stage{
		{try: Try{Near: true, Immediate: true}, tries: 3},
		{try: Try{Immediate: true}, tries: 1},
		{try: Try{Near: true}, tries: 2, anew: true},
		{try: Try{Insist: true}, tries: 2, anew: true},
	}
	heavyStages = []stage{
		{try: Try{Near: true, Immediate: true}, tries: 3},
		{try: Try{Near: true}, tries: 3, anew: true},
		{try: Try{Near: true, Insist: true}, tries: 2, anew: true},
	}
	plainStages = []stage{
		{try: Try{}, tries: 1 << 10},
		{try: Try{Insist: true}, tries: 1 << 10, anew: true},
	}
)

// Plan is the state of one request. It is immutable.
type Plan struct {
	stages []stage
	stage  int
	used   int
}

// New returns the plan of a request whose route states an objective. Heavy says that its answer is large.
func New(heavy bool) Plan {
	if heavy {
		return Plan{stages: heavyStages}
	}
	return Plan{stages: lightStages}
}

// Plain returns the plan of a request whose route states no objective: nothing is known of how long it may wait.
func Plain() Plan { return Plan{stages: plainStages} }

// Try returns how the next try looks.
func (p Plan) Try() Try { return p.stages[p.stage].try }

// WithTry returns the plan after one more try, and whether targets that refused earlier may be tried again.
func (p Plan) WithTry() (next Plan, anew bool) {
	p.used++
	if p.used < p.stages[p.stage].tries || p.stage == len(p.stages)-1 {
		return p, false
	}
	return p.advance()
}

// WithoutTarget returns the plan after a try found no target, and whether targets that refused earlier may be tried
// again. Last says that nothing is left to look for.
func (p Plan) WithoutTarget() (next Plan, anew, last bool) {
	if p.stage == len(p.stages)-1 {
		return p, false, true
	}
	next, anew = p.advance()
	return next, anew, false
}

func (p Plan) advance() (Plan, bool) {
	p.stage++
	p.used = 0
	return p, p.stages[p.stage].anew
}
