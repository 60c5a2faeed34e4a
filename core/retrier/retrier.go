// Package retrier decides whether a request is sent once more, as a retry or as a hedge, within one budget for each
// service.
package retrier

import (
	"net/http"
	"sync"
	"time"

	"samphiremount.example/core/refuser"
)

// DefaultMaxAttempts is the most sends of one request, unless its route or the policy says otherwise.
const DefaultMaxAttempts = 3

// Policy says what further sends are allowed. Moves is the number of times that a request may be sent elsewhere without
// a charge because it was refused before it reached a target: with it, sends that reach a target are what is bounded,
// and not all sends. With 0 every send counts.
type Policy struct {
	Allowance   Allowance
	FreeRetries int
}

// DefaultPolicy is the product's own.
func DefaultPolicy() Policy { return Policy{Allowance: defaultAllowance} }

// Event is what became of an attempt. It is Refused, Answered or Slow.
type Event interface {
	event()
}

// Refused is an attempt that ended with a refusal of the gate or of the connection to it.
type Refused struct {
	Refusal *refuser.Refusal
}

// Answered is an attempt that a target answered with an HTTP status.
type Answered struct {
	Status int
}

// Slow is an attempt that still has no answer when a hedge is due.
type Slow struct{}

func (Refused) event()  {}
func (Answered) event() {}
func (Slow) event()     {}

// Attempt describes one send of a request. Number is 1 for the first. Reached is the number of sends that a target may have
// run, this one included. Most is the setting of the route for the number of targets that the request may be sent
// to, or 0. Repeatable is the setting of the route.
type Attempt struct {
	Service     string
	Number      int
	Reached     int
	MaxAttempts int
	Repeatable  bool
	Deadline    time.Time
}

// Decision is Send or Stop, each with the reason for the log.
type Decision interface {
	decision()
}

// Retry allows one more send of the request, which is already charged to the budget.
type Retry struct {
	Reason string
}

// Stop ends the request with what its last attempt got. Unpaid says that only the budget of this node stands against
// another send.
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

// New returns a Retrier with empty budgets and the product's own policy.
func New() *Retrier { return NewWith(DefaultPolicy) }

// NewWith returns a Retrier with empty budgets. Policy is asked at each decision, since a node's part of a slack that
// all nodes share depends on their number.
func NewWith(policy func() Policy) *Retrier {
	return &Retrier{policy: policy, budgets: make(map[string]Budget)}
}

// CountRequest counts a new request of service at now. It is called once for each request, before its first attempt.
func (r *Retrier) CountRequest(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[service] = r.budgets[service].WithRequest(now, r.policy().Allowance)
}

// Decide returns whether the request of attempt is sent once more after event at now. A request that may not be
// repeated is sent again only if its refusal says that it was not run. Every further send is charged to the budget
// of the service, except one: the first attempt that reached a target or node which says that it left. Such a
// target is no longer chosen within seconds, so that send cannot multiply load.
//
// Decide is called only for attempts that were sent: without a target to choose there is nothing to decide.
func (r *Retrier) Decide(now time.Time, event Event, attempt Attempt) Decision {
	policy := r.policy()
	moved := policy.FreeRetries > 0 && !mayHaveReachedTarget(event)
	if attempt.exhausted(policy, moved) {
		return Stop{Reason: "all attempts are used"}
	}
	if !now.Before(attempt.Deadline) {
		return Stop{Reason: "the deadline has passed"}
	}
	reason, ok := retryable(event, attempt.Repeatable)
	if !ok {
		return Stop{Reason: reason}
	}
	if moved || attempt.Number == 1 && targetLeft(event) {
		return Retry{reason}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budgets[attempt.Service].WithRetry(now, policy.Allowance)
	r.budgets[attempt.Service] = budget
	if !ok {
		return Stop{Reason: "the retry budget is used up", BudgetExhausted: true}
	}
	return Retry{reason}
}

// exhausted reports whether no further send is allowed, whatever the budget says.
func (a Attempt) exhausted(policy Policy, moved bool) bool {
	most := DefaultMaxAttempts
	if a.MaxAttempts > 0 {
		most = a.MaxAttempts
	}
	if policy.FreeRetries == 0 {
		return a.Number >= most
	}
	if moved {
		return a.Number > policy.FreeRetries
	}
	return a.Reached >= most || a.Number > policy.FreeRetries
}

// mayHaveReachedTarget reports whether the attempt may have reached a target.
func mayHaveReachedTarget(event Event) bool {
	refused, ok := event.(Refused)
	if !ok {
		return true
	}
	_, notRun := refused.Refusal.Outcome.(refuser.NotRun)
	return !notRun || refused.Refusal.Kind == refuser.TargetDeclined
}

// retryable returns whether sending again is safe and can help, with the reason.
func retryable(event Event, repeatable bool) (string, bool) {
	switch event := event.(type) {
	case Refused:
		return retryableRefusal(event.Refusal, repeatable)
	case Answered:
		return retryableStatus(event.Status, repeatable)
	case Slow:
		return "the answer is late", repeatable
	}
	return "the event is not known", false
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

// targetSpecific reports whether another target may serve a request that was refused with kind.
func targetSpecific(kind refuser.Kind) bool {
	switch kind {
	case refuser.CapacityShort, refuser.TargetUnknown, refuser.TargetUnreachable, refuser.NodeUnreachable,
		refuser.TargetSuspect, refuser.TargetDeclined,
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
