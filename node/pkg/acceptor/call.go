package acceptor

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/escalator"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
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
	// Budget grants sends that the node's own budget does not cover; nil grants none.
	Budget Budget
	// RetryFraction returns how many of the requests that the targets of this VM run and that may be repeated were sent to
	// another one before. Calls that such a request makes are repeats too.
	RetryFraction func() (part float64)
	// UseLost lets requests go to nodes that control lost, as long as this node reaches them.
	UseLost bool
	// HedgeAfter is the part of its objective after which a request that may be repeated is sent to a second target; 0
	// turns hedges off.
	HedgeAfter float64
}

// Budget is the part of the retry budget that all nodes share.
type Budget interface {
	CountRequest(service string)
	Charge(service string, part float64)
	Acquire(ctx context.Context, service string) bool
}

// Call is a caller's request without the protocol that it came in. ID names it in logs and must be unique. Header holds
// what the target gets of the caller's headers. Credentials are the texts of the keys that came with it. Length is the
// body's length in bytes, or -1. Trailer is filled in once the body was read.
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
	// Deadline is when the caller stops waiting, or zero if it does not say.
	Deadline time.Time
	// Origin is the service of the VM where the request began, if that is known.
	Origin string
}

// Serve authenticates, admits, routes and forwards call, and returns the target's answer, whose Body must be closed. The
// error is a refusal.
func (a *Acceptor) Serve(ctx context.Context, call Call) (forwarder.Answer, error) {
	answer, objective, err := a.answer(ctx, call)
	if err != nil {
		refusal := *refuser.From(err)
		refusal.RetryAt = a.chooser.again(&refusal, objective)
		a.RouteLog.Info("request refused", "request", call.ID, "kind", refusal.Kind, "outcome", refusal.Outcome,
			"detail", refusal.Detail, "again", time.Until(refusal.RetryAt))
		return forwarder.Answer{}, &refusal
	}
	return answer, nil
}

// answer also returns the objective of the request's route, as far as that is known.
func (a *Acceptor) answer(ctx context.Context, call Call) (forwarder.Answer, time.Duration, error) {
	if err := checkCall(call); err != nil {
		return forwarder.Answer{}, 0, err
	}
	view := a.Viewer.View()
	admission, err := authenticate(view, call)
	if err != nil {
		return forwarder.Answer{}, 0, err
	}
	now := time.Now()
	deadline := now.Add(admission.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(deadline) {
		deadline = call.Deadline
	}
	if err := a.admit(ctx, admission, call.ID, deadline); err != nil {
		return forwarder.Answer{}, 0, err
	}
	head := forwarder.Head{
		ID: call.ID, Request: call.ID, Origin: call.Origin, Service: a.chooser.service(admission.route),
		Workspace: admission.workspace.Name, Weight: admission.workspace.Weight, Rank: rank(admission),
		Repeatable: admission.route.Repeatable, Deadline: deadline, ObjectiveDeadline: now.Add(objective(admission.route)),
		MaxExpectedLatency: admission.route.Objective, Method: call.Method, URI: call.URI, Host: call.Host,
		Header: withoutKey(call.Header, admission.presented), Length: call.Length, Trailer: trailerNames(call.Trailer),
		// Targets' calls carry no key. Other requests without one cannot be told from them.
		Nested: len(call.Credentials) == 0 && call.Origin != "",
	}
	a.RouteLog.Info("request matched", "request", call.ID, "route", admission.route.Name, "service", head.Service,
		"workspace", head.Workspace, "rank", int(head.Rank), "inner", head.Nested, "repeatable", head.Repeatable, "remaining", deadline.Sub(now),
		"version", view.Configuration.Version(), "number", view.Configuration.Number())
	head.HealthyOnly = !head.Repeatable
	head.Hedged = a.HedgeAfter > 0 && head.Repeatable && head.Length == 0 && head.MaxExpectedLatency > 0
	plan := escalator.NewDefault()
	if head.MaxExpectedLatency > 0 {
		plan = escalator.New(a.chooser.heavy(head.MaxExpectedLatency))
	}
	if head.Nested {
		a.charge(head)
	}
	answer, err := a.forward(ctx, forwarding{
		head: head, body: newBody(call, admission.presented), attempts: admission.route.MaxAttempts, plan: plan,
	})
	return answer, head.MaxExpectedLatency, err
}

// charge counts a call that a repeated request made, most likely, as a further send of its service.
func (a *Acceptor) charge(head forwarder.Head) {
	if a.RetryFraction == nil || a.Budget == nil {
		return
	}
	if part := a.RetryFraction(); part > 0 {
		a.RouteLog.Info("call charged as a repeat", "request", head.ID, "service", head.Service, "part", part)
		a.Budget.Charge(head.Service, part)
	}
}

// rank puts the workspace's rank before the route's.
func rank(admission admission) configurer.Rank {
	return admission.workspace.Rank*rankSpan + admission.route.Rank
}

// rankSpan is above every rank of a route that makes a difference.
const rankSpan = 100

func objective(route configurer.Route) time.Duration {
	if route.Objective > 0 {
		return route.Objective
	}
	return route.Timeout
}
