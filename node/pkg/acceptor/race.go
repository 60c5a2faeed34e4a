package acceptor

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/node/pkg/forwarder"
)

// race holds the attempts of a request that run in parallel. last is the last one that may have run and did not succeed, and
// failure the best result of those. allowed is not nil while the budget is asked for another attempt, and end cancels that
// query.
type race struct {
	acceptor *Acceptor
	request  *forwardedRequest
	pending  []*pendingAttempt
	last     *pendingAttempt
	failure  failure
	hedge    <-chan time.Time
	allowed  <-chan bool
	end      func()
}

// race waits for the first attempt. If that takes long, or if its gate gives no sign of life, and the budget allows it, race
// starts others in parallel. It returns the first successful result, or else the best one when all have ended. An attempt that
// was sent is never ended without a result unless another one succeeds, since its target may be at work.
func (a *Acceptor) race(ctx context.Context, f *forwardedRequest, first *pendingAttempt) (forwarder.Answer, error) {
	r := &race{acceptor: a, request: f, pending: []*pendingAttempt{first}, hedge: a.hedgeTimer(f, first), end: func() {}}
	defer func() { r.end() }()
	for {
		answer, decided, err := r.scan(ctx)
		if decided {
			return answer, err
		}
		select {
		case <-f.wake:
		case <-r.hedge:
			r.hedge = nil
			r.askBudget(ctx, retrier.Slow{})
		case ok := <-r.allowed:
			r.end()
			r.allowed = nil
			if ok {
				r.startExtra(ctx)
			}
		}
	}
}

// scan handles the results and silences of the pending attempts. It reports whether that decided the race.
func (r *race) scan(ctx context.Context) (answer forwarder.Answer, decided bool, err error) {
	for _, attempt := range slices.Clone(r.pending) {
		select {
		case result := <-attempt.done:
			if answer, decided, err = r.conclude(ctx, attempt, result); decided {
				return answer, true, err
			}
		default:
			r.handleSilence(ctx, attempt)
		}
	}
	return forwarder.Answer{}, false, nil
}

// conclude handles the result of attempt. It reports whether that decided the race.
func (r *race) conclude(ctx context.Context, attempt *pendingAttempt, result result) (answer forwarder.Answer, decided bool, err error) {
	r.remove(attempt)
	f := r.request
	if result.succeeded() {
		for _, other := range r.pending {
			other.cancelAndClose()
		}
		r.failure.close()
		f.head.Target = attempt.head.Target
		return result.answer, true, nil
	}
	if result.err == nil || refuser.From(result.err).Outcome != (refuser.NotRun{}) {
		if r.last != nil {
			f.head.Target = r.last.head.Target
			f.recordReached(nil)
		}
		r.last, r.failure = attempt, r.failure.with(result.answer, result.err)
	} else if attempt.extra {
		r.retryExtra(ctx, attempt, result.err)
	}
	switch {
	case len(r.pending) > 0:
		return forwarder.Answer{}, false, nil
	case r.last == nil:
		f.head.Target = attempt.head.Target
		return forwarder.Answer{}, true, result.err
	default:
		f.head.Target = r.last.head.Target
		answer, err = r.failure.result()
		return answer, true, err
	}
}

// handleSilence lets a request be served elsewhere whose gate gives no sign of life: in place of an attempt that was not sent
// yet, or else beside it.
func (r *race) handleSilence(ctx context.Context, attempt *pendingAttempt) {
	if r.allowed != nil || !r.request.body.replayable() || !attempt.silent.Swap(false) {
		return
	}
	switch {
	case !attempt.launch.Sent():
		r.replaceUnsent(ctx, attempt)
	case r.request.head.Repeatable:
		r.askBudget(ctx, retrier.Silent{})
	}
}

// replaceUnsent sends the request to another target in place of attempt, if there is one. Otherwise attempt goes on, however
// long connecting takes.
func (r *race) replaceUnsent(ctx context.Context, attempt *pendingAttempt) {
	a, f := r.acceptor, r.request
	event := notRunEvent(refuser.NodeUnreachable)
	if !a.Retrier.Allows(time.Now(), event, f.attempt) {
		return
	}
	plan, excluded, head := f.plan, f.excluded, f.head
	view := a.Viewer.View()
	choice, err := a.chooseTarget(view, f)
	if err == nil && !attempt.launch.Withdraw() {
		a.chooser.endRequest(choice.Placement.Target.Name)
	} else if err == nil {
		a.Retrier.Decide(time.Now(), event, f.attempt)
		a.RouteLog.Info("request sent elsewhere", "request", attempt.head.AttemptID, "target", attempt.head.Target,
			"reason", "connecting takes long")
		attempt.cancelAndClose()
		r.remove(attempt)
		f.prepareNext()
		replacement := a.launch(ctx, f, view, choice)
		replacement.extra = attempt.extra
		r.pending = append(r.pending, replacement)
		return
	}
	f.plan, f.excluded, f.head = plan, excluded, head
}

// askBudget asks whether another attempt is allowed beside the pending ones, unless the answer to an earlier query is awaited.
// It runs in the background, since the shared budget may take a while to answer and the attempts continue meanwhile.
func (r *race) askBudget(ctx context.Context, event retrier.Event) {
	if _, slow := event.(retrier.Slow); r.allowed != nil || slow && len(r.pending) > 1 {
		return
	}
	a, attempt, id := r.acceptor, r.request.attempt, r.request.head.AttemptID
	ctx, r.end = context.WithCancel(ctx)
	attempt.Reached += len(r.pending)
	answer := make(chan bool, 1)
	var group errgroup.Group
	group.Go(func() error {
		stop, stopped := a.decide(ctx, id, event, attempt).(retrier.Stop)
		if stopped {
			a.RouteLog.Info("request not hedged", "request", id, "reason", stop.Reason)
		}
		answer <- !stopped
		return nil
	})
	r.allowed = answer
}

// startExtra sends the request to another target beside the pending attempts, if there is one.
func (r *race) startExtra(ctx context.Context) {
	a, f := r.acceptor, r.request
	f.prepareNext()
	f.head.HealthyOnly, f.head.Repeat = true, 1
	extra, err := a.startAttempt(ctx, f)
	if err != nil {
		a.RouteLog.Info("request not hedged", "request", f.head.AttemptID, "reason", err.Error())
		return
	}
	extra.extra = true
	r.pending = append(r.pending, extra)
	a.RouteLog.Info("request hedged", "request", f.head.AttemptID, "target", f.head.Target)
}

// retryExtra sends an extra attempt that was refused before it ran to another target, as often as the policy allows.
func (r *race) retryExtra(ctx context.Context, refused *pendingAttempt, err error) {
	decision := r.acceptor.Retrier.Decide(time.Now(), retrier.Refused{Refusal: refuser.From(err)}, r.request.attempt)
	if stop, ok := decision.(retrier.Stop); ok {
		r.acceptor.RouteLog.Info("hedge not retried", "request", refused.head.AttemptID, "reason", stop.Reason)
		return
	}
	r.startExtra(ctx)
}

func (r *race) remove(attempt *pendingAttempt) {
	f := r.request
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingAttempt) bool { return p == attempt })
	f.inFlight = slices.DeleteFunc(f.inFlight, func(target string) bool { return target == attempt.head.Target })
}

// notRunEvent is the event of an attempt that was refused with kind before it ran.
func notRunEvent(kind refuser.Kind) retrier.Event {
	return retrier.Refused{Refusal: &refuser.Refusal{Kind: kind, Outcome: refuser.NotRun{}}}
}
