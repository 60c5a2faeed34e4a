package acceptor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/viewer"
)

const (
	// trialHedgeFraction is the fraction of the usual delay after which a request on trial is hedged.
	trialHedgeFraction = 0.6
	// maxHedgeFraction is the fraction of its objective after which a request is hedged at the latest, however long such
	// requests take.
	maxHedgeFraction = 0.9
)

// pendingAttempt is an attempt that was started. Its result is sent to done once. silent has a value while its gate gives no
// sign of life.
type pendingAttempt struct {
	head      forwarder.Head
	placement tracker.Placement
	trial     bool
	cancel    context.CancelFunc
	group     errgroup.Group
	done      chan result
	silent    chan struct{}
	launch    *forwarder.Launch
}

type result struct {
	answer forwarder.Answer
	err    error
}

// succeeded reports whether the result ends the request, whatever the result of another attempt may be.
func (r result) succeeded() bool {
	return r.err == nil && r.answer.Status < http.StatusInternalServerError
}

// startAttempt chooses a target and sends the request there.
func (a *Acceptor) startAttempt(ctx context.Context, f *forwardedRequest) (*pendingAttempt, error) {
	view := a.Viewer.View()
	choice, err := a.chooseTarget(view, f)
	if err != nil {
		return nil, err
	}
	return a.launch(ctx, f, view, choice), nil
}

// launch sends the request to the target of choice.
func (a *Acceptor) launch(ctx context.Context, f *forwardedRequest, view *viewer.View, choice router.Choice) *pendingAttempt {
	target, node := choice.Placement.Target, choice.Placement.Node
	f.excluded = append(f.excluded, target.Name)
	f.head.Target, f.head.Incarnation = target.Name, node.Incarnation
	ctx, cancel := context.WithCancel(ctx)
	pending := &pendingAttempt{
		head: f.head, placement: choice.Placement, trial: choice.Trial, cancel: cancel, done: make(chan result, 1),
		silent: make(chan struct{}, 1), launch: new(forwarder.Launch),
	}
	destination := a.chooser.destination(choice.Placement, func() []string { return a.relays(view, node.Name) })
	destination.Launch = pending.launch
	destination.OnSilence = func(reached bool) {
		if !reached {
			a.chooser.recordSilence(pending.placement)
		}
		pending.reportSilence()
	}
	body := f.body.reader()
	pending.group.Go(func() error {
		answer, err := a.Client.Forward(ctx, destination, pending.head, body)
		a.chooser.recordAttempt(pending.placement, pending.head, answer, err)
		finish := sync.OnceFunc(func() {
			cancel()
			a.chooser.endRequest(target.Name)
		})
		if err != nil {
			finish()
			pending.done <- result{err: f.withBodyTruncated(ctx, err)}
			return nil
		}
		answer.Body = closeNotifyBody{answer.Body, finish}
		pending.done <- result{answer: answer}
		return nil
	})
	return pending
}

// cancelAndClose cancels an attempt whose result is no longer needed, and closes its answer.
func (p *pendingAttempt) cancelAndClose() {
	p.cancel()
	p.group.Go(func() error {
		if r := <-p.done; r.err == nil {
			return r.answer.Body.Close()
		}
		return nil
	})
}

// reportSilence tells the race that the gate gives no sign of life.
func (p *pendingAttempt) reportSilence() {
	select {
	case p.silent <- struct{}{}:
	default:
	}
}

// race waits for the first attempt. If that takes long, or if its gate gives no sign of life, and the budget allows it, race
// starts a second one in parallel. It returns the first successful result, or else the last one. A second attempt that its
// gate refuses is sent to another target. The first attempt is never ended without a result, since its target may be at work.
func (a *Acceptor) race(ctx context.Context, f *forwardedRequest, first *pendingAttempt) (forwarder.Answer, error) {
	race := &race{acceptor: a, request: f, first: first, hedge: a.hedgeTimer(f, first), end: func() {}}
	defer func() { race.end() }()
	for {
		answer, decided, err := race.step(ctx)
		if decided {
			return answer, err
		}
	}
}

// race is the state of the attempts of a request that run in parallel. second is nil while there is only one. allowed is
// not nil while the budget is asked for a second one, and end cancels that query.
type race struct {
	acceptor *Acceptor
	request  *forwardedRequest
	first    *pendingAttempt
	second   *pendingAttempt
	hedge    <-chan time.Time
	allowed  <-chan bool
	end      func()
}

// step waits for the next event. It reports whether that decided the race.
func (r *race) step(ctx context.Context) (answer forwarder.Answer, decided bool, err error) {
	select {
	case result := <-r.first.done:
		answer, err = r.finish(r.first, result, r.second)
		return answer, true, err
	case result := <-r.secondDone():
		if result.err == nil || refuser.From(result.err).Outcome != (refuser.NotRun{}) {
			answer, err = r.finish(r.second, result, r.first)
			return answer, true, err
		}
		r.second = r.acceptor.retryHedge(ctx, r.request, r.second, result.err)
	case <-r.hedge:
		r.hedge = nil
		r.askBudget(ctx, retrier.Slow{})
	case <-r.silence():
		if !r.replaceUnsent(ctx) && r.request.head.Repeatable {
			r.askBudget(ctx, retrier.Silent{})
		}
	case ok := <-r.allowed:
		r.end()
		r.allowed = nil
		if ok {
			r.second = r.acceptor.startHedge(ctx, r.request)
		}
	}
	return forwarder.Answer{}, false, nil
}

// secondDone returns the channel of the second attempt's result, or nil if there is none.
func (r *race) secondDone() <-chan result {
	if r.second == nil {
		return nil
	}
	return r.second.done
}

// silence returns the channel that tells of a silent gate, or nil if a second attempt is not possible now.
func (r *race) silence() <-chan struct{} {
	if r.second != nil || r.allowed != nil || !r.request.body.replayable() {
		return nil
	}
	return r.first.silent
}

// replaceUnsent sends the request to another target in place of the first one, if it has not been sent yet and there is
// another target. Without one the first attempt goes on, however long connecting takes.
func (r *race) replaceUnsent(ctx context.Context) bool {
	a, f := r.acceptor, r.request
	if r.first.launch.Sent() {
		return false
	}
	view := a.Viewer.View()
	choice, err := a.chooseTarget(view, f)
	if err != nil {
		return false
	}
	unsent := &refuser.Refusal{Kind: refuser.NodeUnreachable, Outcome: refuser.NotRun{}}
	decision := a.Retrier.Decide(time.Now(), retrier.Refused{Refusal: unsent}, f.attempt)
	if _, ok := decision.(retrier.Retry); !ok || !r.first.launch.Withdraw() {
		a.chooser.endRequest(choice.Placement.Target.Name)
		return false
	}
	a.RouteLog.Info("request sent elsewhere", "request", r.first.head.AttemptID, "target", r.first.head.Target,
		"reason", "connecting takes long")
	r.first.cancelAndClose()
	f.prepareNext()
	r.first = a.launch(ctx, f, view, choice)
	return true
}

// askBudget asks whether a second attempt is allowed, unless there is one or the answer is awaited.
func (r *race) askBudget(ctx context.Context, event retrier.Event) {
	if r.second == nil && r.allowed == nil {
		r.allowed, r.end = r.acceptor.allowHedge(ctx, r.request, event)
	}
}

// finish returns the result of the finished attempt, or that of the other one if that may still be better.
func (r *race) finish(finished *pendingAttempt, result result, other *pendingAttempt) (forwarder.Answer, error) {
	if other == nil {
		r.request.head.Target = finished.head.Target
		return result.answer, result.err
	}
	return r.acceptor.resolveRace(r.request, finished, result, other)
}

// resolveRace returns the result of the finished attempt if it succeeded, and otherwise waits for that of the other one. A
// target's failure is kept if the other attempt has no answer.
func (a *Acceptor) resolveRace(f *forwardedRequest, finished *pendingAttempt, r result, other *pendingAttempt) (forwarder.Answer, error) {
	f.head.Target = finished.head.Target
	if r.succeeded() {
		other.cancelAndClose()
		return r.answer, nil
	}
	last := <-other.done
	if last.err != nil && refuser.From(last.err).Outcome == (refuser.NotRun{}) {
		return r.answer, r.err
	}
	f.recordReached(r.err)
	f.head.Target = other.head.Target
	if r.err != nil {
		return last.answer, last.err
	}
	if last.err != nil {
		return r.answer, nil
	}
	_ = r.answer.Body.Close()
	return last.answer, nil
}

// hedgeTimer returns a channel that becomes ready when first is to be hedged, or nil if first must not be hedged.
func (a *Acceptor) hedgeTimer(f *forwardedRequest, first *pendingAttempt) <-chan time.Time {
	if !f.head.Hedged || f.attempt.Reached > 0 {
		return nil
	}
	delay := max(time.Duration(a.HedgeAfter*float64(f.head.Objective)), a.chooser.highDuration(f.head.Objective))
	delay = min(delay, time.Duration(maxHedgeFraction*float64(f.head.Objective)))
	if first.trial {
		delay = time.Duration(trialHedgeFraction * float64(delay))
	}
	return time.After(delay)
}

// allowHedge asks whether the budget allows a second attempt; end cancels the query. It runs in the background, since
// the shared budget may take a while to answer and the first attempt continues meanwhile.
func (a *Acceptor) allowHedge(ctx context.Context, f *forwardedRequest, event retrier.Event) (allowed <-chan bool, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	attempt, id := f.attempt, f.head.AttemptID
	attempt.Reached++
	answer := make(chan bool, 1)
	var group errgroup.Group
	group.Go(func() error {
		stop, stopped := a.decide(ctx, event, attempt).(retrier.Stop)
		if stopped {
			a.RouteLog.Info("request not hedged", "request", id, "reason", stop.Reason)
		}
		answer <- !stopped
		return nil
	})
	return answer, cancel
}

// startHedge sends the request to a second target. It returns nil if there is none.
func (a *Acceptor) startHedge(ctx context.Context, f *forwardedRequest) *pendingAttempt {
	f.prepareNext()
	f.head.HealthyOnly = true
	second, err := a.startAttempt(ctx, f)
	if err != nil {
		a.RouteLog.Info("request not hedged", "request", f.head.AttemptID, "reason", err.Error())
		return nil
	}
	a.RouteLog.Info("request hedged", "request", f.head.AttemptID, "target", f.head.Target)
	return second
}

// retryHedge sends a second attempt that was refused before it ran to another target, as often as the policy allows.
func (a *Acceptor) retryHedge(ctx context.Context, f *forwardedRequest, refused *pendingAttempt, err error) *pendingAttempt {
	decision := a.Retrier.Decide(time.Now(), retrier.Refused{Refusal: refuser.From(err)}, f.attempt)
	if stop, ok := decision.(retrier.Stop); ok {
		a.RouteLog.Info("hedge not retried", "request", refused.head.AttemptID, "reason", stop.Reason)
		return nil
	}
	return a.startHedge(ctx, f)
}
