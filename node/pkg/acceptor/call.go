package acceptor

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/escalator"
	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/granter"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/node/pkg/counter"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// Dependencies are what an Acceptor needs.
type Dependencies struct {
	Name     string
	Viewer   *viewer.Viewer
	Client   *forwarder.Client
	Locality router.Locality
	Router   router.Router
	Random   *rand.Rand
	RouteLog *slog.Logger
	AdmitLog *slog.Logger
	Limiter  Limiter
	Retrier  *retrier.Retrier
	Watcher  Watcher
	// Budget grants extra attempts that the node's own budget does not cover; nil grants none.
	Budget Budget
	// RetryFraction returns the fraction of the runs now in progress on the targets of this VM that are repeats. Calls that
	// such a run makes count as repeats too.
	RetryFraction func() (fraction float64)
	// Gossip holds the verdicts of gates on their targets; nil holds none.
	Gossip *gossiper.Gossiper
	// CallFailed is called when a call has failed that a target of this VM made; nil if there is none.
	CallFailed func()
	// CallSeen is called with the called service when a target of this VM makes a call, with admission; nil if there is none.
	CallSeen func(service string)
	// Refuses reports whether requests that arrive at now are refused because the node stops; nil refuses none.
	Refuses func(now time.Time) bool
	// UseLostNodes lets requests go to nodes that the control process has declared lost, as long as this node reaches them.
	UseLostNodes bool
	BodyLimits   BodyLimits
	// HedgeAfter is the fraction of its objective that must pass before a repeatable request is sent to a second target;
	// 0 disables hedges.
	HedgeAfter float64
	// Admission counts what admission by cost rejects, by reason; nil disables it.
	Admission *expvar.Map
}

// Budget is the shared part of the retry budget, which all nodes spend from.
type Budget interface {
	// CountRequest counts a request.
	CountRequest(request budgeter.Request)
	// Acquire reports whether extra is granted.
	Acquire(ctx context.Context, extra budgeter.Extra) bool
}

// Call is a caller's request, independent of the protocol by which it arrived. ID names it in logs and must be unique.
// Path is percent-encoded, as the caller sent it. Header holds the headers of the caller that are sent to the target.
// Credentials holds the texts of the keys that came with the request. Length is the body's length in bytes, or -1 if it is
// unknown. Trailer is filled in once the body was read.
type Call struct {
	ID          string
	Method      string
	Host        string
	Path        string
	URI         string
	Header      http.Header
	Credentials []string
	Body        io.Reader
	Length      int64
	Trailer     http.Header
	// Deadline is when the caller stops waiting, or zero if it is unknown.
	Deadline time.Time
	// Origin is the service of the VM where the request began, or empty if it is unknown.
	Origin string
}

// Serve authenticates, admits, routes and forwards call, and returns the target's answer, whose Body must be closed. The
// error is a refusal.
func (a *Acceptor) Serve(ctx context.Context, call Call) (forwarder.Answer, error) {
	counter.Name(ctx, call.ID)
	answer, head, err := a.answer(ctx, call)
	if err != nil {
		refusal := *refuser.From(err)
		refusal.RetryAt = a.retryAt(&refusal, head)
		a.RouteLog.Info("request refused", "request", call.ID, "kind", refusal.Kind, "outcome", refusal.Outcome,
			"detail", refusal.Detail, "again", time.Until(refusal.RetryAt))
		return forwarder.Answer{}, &refusal
	}
	return answer, nil
}

// answer serves call. It also returns the head of the request, or the zero value if it was refused before it had one.
func (a *Acceptor) answer(ctx context.Context, call Call) (forwarder.Answer, forwarder.Head, error) {
	if err := a.check(call); err != nil {
		return forwarder.Answer{}, forwarder.Head{}, err
	}
	view := a.Viewer.View()
	admission, err := authenticate(view, call)
	if err != nil {
		return forwarder.Answer{}, forwarder.Head{}, err
	}
	now := time.Now()
	deadline := now.Add(admission.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(deadline) {
		deadline = call.Deadline
	}
	regions := allowedRegions(view, admission)
	if err := a.checkPlaces(view, admission.route, regions); err != nil {
		return forwarder.Answer{}, forwarder.Head{Objective: admission.route.Objective}, err
	}
	head := a.newHead(admission, call, now, deadline)
	head.Regions = regions
	a.noteCall(head, admission.route.Timeout)
	// A request that cannot be served takes no token of its workspace.
	if err := a.checkRoom(view, head); err != nil {
		return forwarder.Answer{}, head, err
	}
	if err := a.admit(ctx, admission, call.ID, deadline); err != nil {
		return forwarder.Answer{}, forwarder.Head{}, err
	}
	a.RouteLog.Info("request matched", "request", call.ID, "route", admission.route.Name, "service", head.Service,
		"workspace", head.Workspace, "rank", int(head.Rank), "inner", head.Nested, "repeatable", head.Repeatable, "remaining", deadline.Sub(now),
		"version", view.Configuration.Version(), "number", view.Configuration.Number())
	head.Repeat = a.repeatProbability(head)
	body := newBody(ctx, call, a.BodyLimits.MaxBytes, &a.pool, admission.presentedKey)
	defer body.release()
	answer, err := a.forward(ctx, forwardedRequest{
		head: head, body: body, maxAttempts: admission.route.MaxAttempts, plan: a.newPlan(head),
	})
	a.recordCall(ctx, head, answer, err)
	return answer, head, err
}

// newHead returns the head of a request that was admitted at now.
func (a *Acceptor) newHead(admission admission, call Call, now, deadline time.Time) forwarder.Head {
	head := forwarder.Head{
		AttemptID: call.ID, RequestID: call.ID, Origin: call.Origin, Service: a.chooser.pickService(admission.route),
		Workspace: admission.workspace.Name, Weight: admission.workspace.Weight, Rank: rank(admission),
		Repeatable: admission.route.Repeatable, Deadline: deadline, ObjectiveDeadline: now.Add(objective(admission.route)),
		Objective: admission.route.Objective, Method: call.Method, URI: call.URI, Host: call.Host,
		Header: withoutKey(call.Header, admission.presentedKey), Length: call.Length, Trailer: trailerNames(call.Trailer),
		// Calls of targets carry no key. Other requests from the same VM without a key cannot be distinguished from
		// them.
		Nested: len(call.Credentials) == 0 && call.Origin != "",
		Upload: admission.route.Upload, HealthyOnly: !admission.route.Repeatable,
	}
	head.Hedged = a.HedgeAfter > 0 && head.Repeatable && head.Length == 0 && head.Objective > 0
	return head
}

// newPlan returns the plan of a request with head.
func (a *Acceptor) newPlan(head forwarder.Head) escalator.Plan {
	if head.Objective == 0 {
		return escalator.NewDefault()
	}
	body := granter.Body{Upload: head.Upload, Length: head.Length}
	return escalator.New(body.Large() || a.chooser.largeAnswers(head.Objective))
}

// recordCall reports a nested call that has failed, unless its caller has left.
func (a *Acceptor) recordCall(ctx context.Context, head forwarder.Head, answer forwarder.Answer, err error) {
	failed := err != nil || answer.Status >= http.StatusInternalServerError
	if failed && head.Nested && ctx.Err() == nil && a.CallFailed != nil {
		a.CallFailed()
	}
}

// check refuses a call that is invalid, and any call while the node stops.
func (a *Acceptor) check(call Call) error {
	if a.Refuses != nil && a.Refuses(time.Now()) {
		return refuser.Refuse(refuser.NodeStopping, "")
	}
	if limit := a.BodyLimits.MaxBytes; limit > 0 && call.Length > limit {
		return refuser.Refuse(refuser.BodyTooLarge, "")
	}
	return checkCall(call)
}

// repeatProbability returns the probability that a request is a call which a repeat has made.
func (a *Acceptor) repeatProbability(head forwarder.Head) float64 {
	if !head.Nested || a.RetryFraction == nil {
		return 0
	}
	fraction := a.RetryFraction()
	if fraction > 0 {
		a.RouteLog.Info("nested call charged to the retry budget", "request", head.AttemptID, "service", head.Service, "part", fraction)
	}
	return fraction
}

// countRequest counts the request of head in both budgets.
func (a *Acceptor) countRequest(head forwarder.Head) {
	a.Retrier.CountRequest(time.Now(), head.Service, head.Repeat)
	if a.Budget == nil {
		return
	}
	request := budgeter.Request{Service: head.Service, Repeatable: head.Repeatable, Repeat: head.Repeat}
	if head.Nested {
		request.Caller = head.Origin
	}
	a.Budget.CountRequest(request)
}

// rank returns the rank of a request: first by the rank of its workspace, then by that of its route.
func rank(admission admission) configurer.Rank {
	return admission.workspace.Rank*rankSpan + admission.route.Rank
}

// rankSpan gives the rank of the workspace precedence over ranks of routes that are below rankSpan.
const rankSpan = 100

// objective returns the objective of route, or its timeout if it has none.
func objective(route configurer.Route) time.Duration {
	if route.Objective > 0 {
		return route.Objective
	}
	return route.Timeout
}
