package acceptor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphiremount.example/core/escalator"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

// forwarding is one request on its way through as many attempts as it takes. Doubt is set once an attempt may have
// run: a later one that did not run does not take that back. Reached are the targets that may have run it, tried those
// that it does not go to for now.
type forwarding struct {
	head     forwarder.Head
	body     *body
	attempts int
	attempt  retrier.Attempt
	tried    []string
	reached  []string
	doubt    bool
	plan     escalator.Plan
}

// forward sends a request to a target, and to another one after a failure where that is safe and within the budget.
func (a *Acceptor) forward(ctx context.Context, forwarded forwarding) (forwarder.Answer, error) {
	f := &forwarded
	a.Retrier.CountRequest(time.Now(), f.head.Service)
	if a.Budget != nil {
		a.Budget.CountRequest(f.head.Service)
	}
	f.attempt = retrier.Attempt{
		Service: f.head.Service, Number: 1, MaxAttempts: f.attempts, Repeatable: f.head.Repeatable, Deadline: f.head.Deadline,
	}
	var last error
	for {
		answer, sent, err := a.try(ctx, f)
		if !sent && last != nil {
			// No other target is left, so the last attempt's refusal says more.
			return forwarder.Answer{}, last
		}
		if !sent {
			return forwarder.Answer{}, err
		}
		if !a.again(ctx, f, answer, err) {
			return answer, f.truth(err)
		}
		last = f.truth(err)
		if err == nil {
			_ = answer.Body.Close()
			last = refuser.Fail(refuser.OutcomeUnknown, "a target failed it, and no other answered")
		}
		f.next()
	}
}

// next prepares the attempt that follows.
func (f *forwarding) next() {
	f.attempt.Number++
	f.head.HealthyOnly = !f.head.Repeatable || f.attempt.Reached > 0
	f.head.ID = fmt.Sprintf("%s.%d", f.head.Request, f.attempt.Number)
}

// try makes one attempt, which may be hedged. Sent is false if there was no target to send it to.
func (a *Acceptor) try(ctx context.Context, f *forwarding) (answer forwarder.Answer, sent bool, err error) {
	first, err := a.launch(ctx, f)
	if err != nil {
		return forwarder.Answer{}, false, err
	}
	answer, err = a.race(ctx, f, first)
	return answer, true, err
}

// choose picks a target for the next attempt, by the request's plan. It never goes to one that may have run it.
func (a *Acceptor) choose(view *viewer.View, f *forwarding) (router.Choice, error) {
	for {
		try := f.plan.Scope()
		f.head.Immediate, f.head.AllowSuspect = try.Immediate, try.AllowSuspect
		choice, err := a.chooser.choose(view, f.head, try.LocalRegion, f.tried...)
		var anew, last bool
		if err == nil {
			f.plan, anew = f.plan.WithAttempt()
		} else {
			f.plan, anew, last = f.plan.WithoutTarget()
		}
		if anew {
			f.tried = slices.Clone(f.reached)
		}
		if err == nil || last {
			return choice, err
		}
	}
}

// again reports whether the request goes out once more after an attempt that ended with answer or err.
func (a *Acceptor) again(ctx context.Context, f *forwarding, answer forwarder.Answer, err error) bool {
	var event retrier.Event = retrier.Answered{Status: answer.Status}
	if err != nil {
		event = retrier.Refused{Refusal: refuser.From(err)}
	}
	f.noteReached(err)
	if ctx.Err() != nil || !f.body.replayable() {
		return false
	}
	if !f.doubt && time.Now().Add(a.chooser.mean(f.head.MaxExpectedLatency)).After(f.head.Deadline) {
		a.RouteLog.Info("request given up", "request", f.head.ID, "target", f.head.Target, "reason", "too little time is left")
		return false
	}
	switch decision := a.decide(ctx, event, f.attempt).(type) {
	case retrier.Retry:
		a.RouteLog.Info("request sent again", "request", f.head.ID, "target", f.head.Target, "reason", decision.Reason)
		return true
	case retrier.Stop:
		if err != nil {
			a.RouteLog.Info("request given up", "request", f.head.ID, "target", f.head.Target, "reason", decision.Reason)
		}
	}
	return false
}

// decide asks the node's own budget first, and then the shared one.
func (a *Acceptor) decide(ctx context.Context, event retrier.Event, attempt retrier.Attempt) retrier.Decision {
	decision := a.Retrier.Decide(time.Now(), event, attempt)
	if stop, ok := decision.(retrier.Stop); ok && stop.BudgetExhausted && a.Budget != nil && a.Budget.Acquire(ctx, attempt.Service) {
		return retrier.Retry{Reason: "the shared budget granted it"}
	}
	return decision
}

// noteReached notes the target of an attempt that ended with err, unless it surely did not run.
func (f *forwarding) noteReached(err error) {
	if err != nil && refuser.From(err).Outcome == (refuser.NotRun{}) {
		return
	}
	f.doubt = true
	f.reached = append(f.reached, f.head.Target)
	f.attempt.Reached++
}

// blame names the caller's cut body as the cause of err. The end of ctx can be seen before the cut, which ends it.
func (f *forwarding) blame(ctx context.Context, err error) error {
	if ctx.Err() == nil || !f.body.cut() {
		return err
	}
	refusal := *refuser.From(err)
	refusal.Kind = refuser.BodyCut
	return &refusal
}

// truth corrects the outcome in err by what earlier attempts may have done.
func (f *forwarding) truth(err error) error {
	if err == nil || !f.doubt {
		return err
	}
	refusal := *refuser.From(err)
	refusal.Outcome = refuser.Unknown{}
	return &refusal
}

// maxRelays is the number of other nodes that are asked to reach a gate.
const maxRelays = 2

// relays returns the addresses of other nodes that may reach the gate of the node called name.
func (a *Acceptor) relays(view *viewer.View, name string) []string {
	nodes := view.Directory.Nodes()
	order := a.chooser.order(len(nodes))
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
