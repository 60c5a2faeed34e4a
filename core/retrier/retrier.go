// Package retrier decides whether a request gets an extra attempt, as a retry or as a hedge, within a budget for each
// service.
package retrier

import (
	"net/http"
	"sync"
	"time"

	"samphiremount.example/core/refuser"
)

// DefaultMaxAttempts bounds the attempts of a request whose route sets no bound.
const DefaultMaxAttempts = 3

// Policy bounds the extra attempts. FreeRetries bounds the retries of one request. If it is above 0, a retry after an
// attempt that did not reach a target is not charged to the budget, and only attempts that may have reached a target
// count towards the maximum of the route. If it is 0, every attempt counts.
type Policy struct {
	Allowance   Allowance
	FreeRetries int
}

// DefaultPolicy charges every extra attempt to the default allowance.
func DefaultPolicy() Policy { return Policy{Allowance: defaultAllowance} }

// Event is the result of an attempt, or the time for its hedge. It is Refused, Answered, Slow or Silent.
type Event interface {
	event()
}

// Refused is an attempt that the gate refused, or whose connection to the gate failed.
type Refused struct {
	Refusal *refuser.Refusal
}

// Answered is an attempt that a target answered with an HTTP status.
type Answered struct {
	Status int
}

// Slow is an attempt without an answer at the time for a hedge.
type Slow struct{}

// Silent is an attempt at a gate that nothing reaches, or from which nothing comes.
type Silent struct{}

func (Refused) event()  {}
func (Answered) event() {}
func (Slow) event()     {}
func (Silent) event()   {}

// Attempt describes one attempt of a request. Number is 1 for the first. Reached is the number of attempts, this one
// included, that may have reached a target. MaxAttempts is the bound that the route sets, or 0 for DefaultMaxAttempts.
// Repeatable is the setting of the route: whether a request that may have run may be sent again.
type Attempt struct {
	Service     string
	Number      int
	Reached     int
	MaxAttempts int
	Repeatable  bool
	Deadline    time.Time
}

// Decision is Retry or Stop, each with the reason for the log.
type Decision interface {
	decision()
}

// Retry allows one extra attempt of the request. Any charge to the budget has already been made: Payer made it, of the
// Requests and ExtraAttempts that the node has counted in its window, this attempt included.
type Retry struct {
	Reason        string
	Payer         Payer
	Requests      float64
	ExtraAttempts int
}

// Payer is the budget that an extra attempt is charged to.
type Payer string

// The payers. Free attempts are charged to no budget.
const (
	Free         Payer = "free"
	NodeBudget   Payer = "node"
	SharedBudget Payer = "shared"
)

// Stop ends the request with the result of its last attempt. BudgetExhausted is set if the only obstacle to an extra
// attempt is the budget of this node.
type Stop struct {
	Reason          string
	BudgetExhausted bool
}

func (Retry) decision() {}
func (Stop) decision()  {}

// Retrier holds the budgets of all services on one node. It is safe for concurrent use.
type Retrier struct {
	policy func() Policy

	mu      sync.Mutex
	budgets map[string]Budget
}

// New returns a Retrier with empty budgets and DefaultPolicy.
func New() *Retrier { return NewWith(DefaultPolicy) }

// NewWith returns a Retrier with empty budgets. It calls policy at each request and decision, since a node's share of a
// slack that all nodes have together depends on their number.
func NewWith(policy func() Policy) *Retrier {
	return &Retrier{policy: policy, budgets: make(map[string]Budget)}
}

// CountRequest counts a new request of service at now. It is called once for each request, before its first attempt.
// repeat is the probability that it is a call which a repeat has made; such a call allows no extra attempt.
func (r *Retrier) CountRequest(now time.Time, service string, repeat float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[service] = r.budgets[service].WithRequest(now, r.policy().Allowance, 1-repeat)
}

// Decide returns whether the request of attempt gets an extra attempt after event at now. A request that is not
// repeatable is retried only if its refusal states that it was not run.
//
// An extra attempt is charged to the budget of the service, with two exceptions: a free retry of the policy, and the
// retry after a first attempt that found its target removed or its node stopping. Within seconds such a target is no
// longer chosen, so that retry cannot multiply load.
//
// Decide must be called only for attempts that were sent, not when there was no target to choose.
func (r *Retrier) Decide(now time.Time, event Event, attempt Attempt) Decision {
	decision, charge := r.judge(now, event, attempt)
	if charge == nil {
		return decision
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budgets[attempt.Service].WithExtraAttempt(now, *charge)
	r.budgets[attempt.Service] = budget
	if !ok {
		return Stop{Reason: "the retry budget is used up", BudgetExhausted: true}
	}
	if retry, ok := decision.(Retry); ok {
		retry.Payer = NodeBudget
		retry.Requests, retry.ExtraAttempts = budget.counted()
		return retry
	}
	return decision
}

// Allows reports whether Decide would allow an extra attempt, and charges nothing.
func (r *Retrier) Allows(now time.Time, event Event, attempt Attempt) bool {
	decision, charge := r.judge(now, event, attempt)
	_, ok := decision.(Retry)
	if charge == nil || !ok {
		return ok
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok = r.budgets[attempt.Service].WithExtraAttempt(now, *charge)
	return ok
}

// judge returns the decision that holds if the budget allows an extra attempt, and the allowance to charge it to, or nil if
// it is not charged.
func (r *Retrier) judge(now time.Time, event Event, attempt Attempt) (decision Decision, charge *Allowance) {
	policy := r.policy()
	free := policy.FreeRetries > 0 && !MayHaveReachedTarget(event)
	if attempt.exhausted(policy, free) {
		return Stop{Reason: "all attempts are used"}, nil
	}
	if !now.Before(attempt.Deadline) {
		return Stop{Reason: "the deadline has passed"}, nil
	}
	reason, ok := retryable(event, attempt.Repeatable)
	if !ok {
		return Stop{Reason: reason}, nil
	}
	if free || attempt.Number == 1 && targetLeft(event) {
		return Retry{Reason: reason, Payer: Free}, nil
	}
	return Retry{Reason: reason}, &policy.Allowance
}

// exhausted reports whether the request has used all its attempts, whatever the budget has left. If free is set, the
// retry would be one of the free retries of the policy.
func (a Attempt) exhausted(policy Policy, free bool) bool {
	maxAttempts := DefaultMaxAttempts
	if a.MaxAttempts > 0 {
		maxAttempts = a.MaxAttempts
	}
	if policy.FreeRetries == 0 {
		return a.Number >= maxAttempts
	}
	if free {
		return a.Number > policy.FreeRetries
	}
	return a.Reached >= maxAttempts || a.Number > policy.FreeRetries
}

// MayHaveReachedTarget reports whether the attempt may have reached a target. A target that declines a request was
// reached, although the request was not run.
func MayHaveReachedTarget(event Event) bool {
	refused, ok := event.(Refused)
	if !ok {
		return true
	}
	_, notRun := refused.Refusal.Outcome.(refuser.NotRun)
	return !notRun || refused.Refusal.Kind == refuser.TargetDeclined
}

// retryable returns whether an extra attempt is safe and can help, and why.
func retryable(event Event, repeatable bool) (string, bool) {
	switch event := event.(type) {
	case Refused:
		return retryableRefusal(event.Refusal, repeatable)
	case Answered:
		return retryableStatus(event.Status, repeatable)
	case Slow:
		return "no answer before the time for a hedge", repeatable
	case Silent:
		return "the gate gives no sign of life", repeatable
	}
	return "the event is of an unknown type", false
}

func retryableRefusal(refusal *refuser.Refusal, repeatable bool) (string, bool) {
	if !targetSpecific(refusal.Kind) {
		return "another target would refuse too", false
	}
	switch refusal.Outcome.(type) {
	case refuser.NotRun:
		return "the request was not run", true
	case refuser.Ran, refuser.Unknown:
		return "the request may have run", repeatable
	}
	return "the outcome is not known", false
}

// targetSpecific reports whether another target may accept a request that was refused with kind.
func targetSpecific(kind refuser.Kind) bool {
	switch kind {
	case refuser.CapacityShort, refuser.TargetUnknown, refuser.TargetUnreachable, refuser.NodeUnreachable,
		refuser.TargetSuspect, refuser.TargetLimited, refuser.TargetDeclined,
		refuser.NodeStopping, refuser.DeadlinePassed, refuser.AnswerCut, refuser.OutcomeUnknown, refuser.Internal:
		return true
	default:
		return false
	}
}

func retryableStatus(status int, repeatable bool) (string, bool) {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return "the target failed the request", repeatable
	default:
		return "the target answered", false
	}
}

// targetLeft reports whether the attempt was not run because its target was removed or its node is stopping.
func targetLeft(event Event) bool {
	refused, ok := event.(Refused)
	if !ok {
		return false
	}
	if _, notRun := refused.Refusal.Outcome.(refuser.NotRun); !notRun {
		return false
	}
	return refused.Refusal.Kind == refuser.TargetUnknown || refused.Refusal.Kind == refuser.NodeStopping
}
