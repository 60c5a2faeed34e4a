package acceptor

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/escalator"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// forwardedRequest is one request with the state of its attempts. mayHaveRun is set once an attempt may have run; a
// later attempt that did not run does not reset it. reachedTargets are the targets that may have run the request,
// excluded those that the next attempt must not go to, and inFlight those of the attempts in progress. wake tells the race
// that one of its attempts has news.
type forwardedRequest struct {
	head           forwarder.Head
	body           *body
	maxAttempts    int
	attempt        retrier.Attempt
	excluded       []string
	reachedTargets []string
	inFlight       []string
	wake           chan struct{}
	mayHaveRun     bool
	plan           escalator.Plan
}

// forward sends a request to a target, and after a failure to another one, where that is safe and within the budget.
func (a *Acceptor) forward(ctx context.Context, request forwardedRequest) (forwarder.Answer, error) {
	f := &request
	f.wake = make(chan struct{}, 1)
	a.countRequest(f.head)
	f.attempt = retrier.Attempt{
		Service: f.head.Service, Number: 1, MaxAttempts: f.maxAttempts, Repeatable: f.head.Repeatable, Deadline: f.head.Deadline,
	}
	var last failure
	for {
		first, err := a.startAttempt(ctx, f)
		if err != nil {
			return last.or(err)
		}
		answer, err := a.race(ctx, f, first)
		if err == nil {
			answer, err = f.awaitBody(answer)
		}
		if !a.shouldRetry(ctx, f, answer, err) {
			if err == nil {
				last.close()
				return answer, nil
			}
			return last.with(answer, f.withOutcome(err)).result()
		}
		last = last.with(answer, f.withOutcome(err))
		f.prepareNext()
	}
}

// awaitBody waits until a part of the body of answer is here, or its end, if the request may be sent again: nothing of the answer
// is sent to the caller before that, so one that breaks off or turns out to be malformed can still be replaced.
func (f *forwardedRequest) awaitBody(answer forwarder.Answer) (forwarder.Answer, error) {
	awaiter, ok := answer.Body.(forwarder.Awaiter)
	if !ok || !f.head.Repeatable || answer.Status >= http.StatusInternalServerError {
		return answer, nil
	}
	err := awaiter.Await()
	if err == nil {
		return answer, nil
	}
	if _, err = bodyEnd(answer, 0, err); err == nil {
		return answer, nil
	}
	_ = answer.Body.Close()
	return forwarder.Answer{}, &refuser.Refusal{Kind: refuser.AnswerCut, Outcome: refuser.Ran{}, Detail: err.Error()}
}

// failure is the result of the attempts so far, none of which succeeded: the last answer of a target, or else the last
// refusal. An answer is kept until a later attempt has a better one, since it tells the caller more than a refusal.
type failure struct {
	answer *forwarder.Answer
	err    error
}

// with returns the failure after a further attempt that ended with answer or err.
func (f failure) with(answer forwarder.Answer, err error) failure {
	if err != nil {
		f.err = err
		return f
	}
	f.close()
	return failure{answer: &answer}
}

// result returns the answer, or else the refusal.
func (f failure) result() (forwarder.Answer, error) {
	if f.answer != nil {
		return *f.answer, nil
	}
	return forwarder.Answer{}, f.err
}

// or returns the result, or err if there was no attempt. A refusal for want of a target tells less than an attempt's result.
func (f failure) or(err error) (forwarder.Answer, error) {
	if f.answer == nil && f.err == nil {
		return forwarder.Answer{}, err
	}
	return f.result()
}

func (f failure) close() {
	if f.answer != nil {
		_ = f.answer.Body.Close()
	}
}

// wakeRace lets the race look at its attempts.
func (f *forwardedRequest) wakeRace() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// prepareNext prepares the next attempt.
func (f *forwardedRequest) prepareNext() {
	f.attempt.Number++
	f.head.HealthyOnly = !f.head.Repeatable || f.attempt.Reached > 0
	f.head.AttemptID = fmt.Sprintf("%s.%d", f.head.RequestID, f.attempt.Number)
}

// chooseTarget picks a target for the next attempt in the scope that the request's plan gives. It never picks one that
// may have run the request.
func (a *Acceptor) chooseTarget(view *viewer.View, f *forwardedRequest) (router.Choice, error) {
	for {
		scope := f.plan.Scope()
		f.head.Immediate, f.head.AllowSuspect = scope.Immediate, scope.AllowSuspect
		choice, err := a.chooser.choose(view, f.head, scope.LocalRegion, f.excluded...)
		var retryRefused, exhausted bool
		if err == nil {
			f.plan, retryRefused = f.plan.WithAttempt()
		} else {
			f.plan, retryRefused, exhausted = f.plan.WithoutTarget()
		}
		if retryRefused {
			f.excluded = slices.Concat(f.reachedTargets, f.inFlight)
		}
		if err == nil || exhausted {
			return choice, err
		}
	}
}

// shouldRetry reports whether the request is sent again after an attempt that ended with answer or err.
func (a *Acceptor) shouldRetry(ctx context.Context, f *forwardedRequest, answer forwarder.Answer, err error) bool {
	var event retrier.Event = retrier.Answered{Status: answer.Status}
	if err != nil {
		event = retrier.Refused{Refusal: refuser.From(err)}
	}
	f.recordReached(err)
	if retrier.MayHaveReachedTarget(event) {
		f.head.Repeat = 1
	}
	if ctx.Err() != nil || !f.body.replayable() {
		return false
	}
	if !f.mayHaveRun && time.Now().Add(a.chooser.meanDuration(f.head.Objective)).After(f.head.Deadline) {
		a.RouteLog.Info("request given up", "request", f.head.AttemptID, "target", f.head.Target, "reason", "too little time is left")
		return false
	}
	if a.sparesBudget(f, event) {
		a.RouteLog.Info("request given up", "request", f.head.AttemptID, "target", f.head.Target, "reason", "it can no longer be on time")
		return false
	}
	switch decision := a.decide(ctx, f.head.AttemptID, event, f.attempt).(type) {
	case retrier.Retry:
		a.RouteLog.Info("request sent again", "request", f.head.AttemptID, "target", f.head.Target, "reason", decision.Reason)
		return true
	case retrier.Stop:
		if err != nil || answer.Status >= http.StatusInternalServerError {
			a.RouteLog.Info("request given up", "request", f.head.AttemptID, "target", f.head.Target, "reason", decision.Reason)
		}
	}
	return false
}

// decide asks the node's own budget first, and then the shared one. It logs which of them paid for the extra attempt.
func (a *Acceptor) decide(ctx context.Context, id string, event retrier.Event, attempt retrier.Attempt) retrier.Decision {
	decision := a.Retrier.Decide(time.Now(), event, attempt)
	_, slow := event.(retrier.Slow)
	extra := budgeter.Extra{Service: attempt.Service, Hedge: slow}
	if stop, ok := decision.(retrier.Stop); ok && stop.BudgetExhausted && a.Budget != nil && a.Budget.Acquire(ctx, extra) {
		decision = retrier.Retry{Reason: "the shared budget granted it", Payer: retrier.SharedBudget}
	}
	if retry, ok := decision.(retrier.Retry); ok && retry.Payer != retrier.Free {
		a.RouteLog.Info("extra attempt paid", "request", id, "service", attempt.Service, "payer", retry.Payer,
			"requests", retry.Requests, "extra", retry.ExtraAttempts)
	}
	return decision
}

// recordReached records that the target of an attempt that ended with err may have run the request, unless it certainly
// did not.
func (f *forwardedRequest) recordReached(err error) {
	if err != nil && refuser.From(err).Outcome == (refuser.NotRun{}) {
		return
	}
	f.mayHaveRun = true
	f.reachedTargets = append(f.reachedTargets, f.head.Target)
	f.attempt.Reached++
}

// withBodyTruncated returns err as a refusal for a truncated body if the caller's body ended early or by a limit. Such a body also
// ends ctx, and the end of ctx can be noticed first.
func (f *forwardedRequest) withBodyTruncated(ctx context.Context, err error) error {
	if kind, ok := f.body.failure(); ok {
		refusal := *refuser.From(err)
		refusal.Kind = kind
		return &refusal
	}
	if ctx.Err() == nil || !f.body.truncated() {
		return err
	}
	refusal := *refuser.From(err)
	refusal.Kind = refuser.BodyCut
	return &refusal
}

// withOutcome returns err with an unknown outcome if an attempt may have run and err does not tell that one has.
func (f *forwardedRequest) withOutcome(err error) error {
	if err == nil || !f.mayHaveRun {
		return err
	}
	refusal := *refuser.From(err)
	if refusal.Outcome == (refuser.Ran{}) {
		return err
	}
	refusal.Outcome = refuser.Unknown{}
	return &refusal
}

// maxRelays bounds the number of other nodes that are asked to reach a gate.
const maxRelays = 2

// relays returns the addresses of other nodes that may reach the gate of the node called name.
func (a *Acceptor) relays(view *viewer.View, name string) []string {
	nodes := view.Directory.Nodes()
	order := a.chooser.permutation(len(nodes))
	var addresses []string
	for _, i := range order {
		node := nodes[i]
		if node.Name != name && node.Name != a.Name && !node.Gone && !node.Leaving {
			addresses = append(addresses, node.Address)
		}
		if len(addresses) == maxRelays {
			break
		}
	}
	return addresses
}
