package acceptor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/forwarder"
)

const (
	// trialHedgeFraction is the fraction of the usual delay after which a request on trial is hedged.
	trialHedgeFraction = 0.6
	// maxHedgeFraction is the fraction of its objective after which a request is hedged at the latest, however long such
	// requests take.
	maxHedgeFraction = 0.9
)

// pendingAttempt is an attempt that was started. Its result is sent to done once.
type pendingAttempt struct {
	head      forwarder.Head
	placement tracker.Placement
	trial     bool
	cancel    context.CancelFunc
	group     errgroup.Group
	done      chan result
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
	target, node := choice.Placement.Target, choice.Placement.Node
	f.excluded = append(f.excluded, target.Name)
	f.head.Target, f.head.Incarnation = target.Name, node.Incarnation
	ctx, cancel := context.WithCancel(ctx)
	pending := &pendingAttempt{head: f.head, placement: choice.Placement, trial: choice.Trial, cancel: cancel, done: make(chan result, 1)}
	destination := a.chooser.destination(choice.Placement, func() []string { return a.relays(view, node.Name) })
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
	return pending, nil
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

// race waits for the first attempt. If that takes long and the budget allows it, race starts a second one in parallel.
// It returns the first successful result, or else the last one. A second attempt that its gate refuses is sent to
// another target.
func (a *Acceptor) race(ctx context.Context, f *forwardedRequest, first *pendingAttempt) (forwarder.Answer, error) {
	select {
	case r := <-first.done:
		return r.answer, r.err
	case <-a.hedgeTimer(f, first):
	}
	allowed, end := a.allowHedge(ctx, f)
	defer end()
	var second *pendingAttempt
	select {
	case r := <-first.done:
		return r.answer, r.err
	case ok := <-allowed:
		if ok {
			second = a.startHedge(ctx, f)
		}
	}
	for second != nil {
		select {
		case r := <-first.done:
			return a.resolveRace(f, first, r, second)
		case r := <-second.done:
			if r.err == nil || refuser.From(r.err).Outcome != (refuser.NotRun{}) {
				return a.resolveRace(f, second, r, first)
			}
			second = a.retryHedge(ctx, f, second, r.err)
		}
	}
	r := <-first.done
	f.head.Target = first.head.Target
	return r.answer, r.err
}

// resolveRace returns the result of the finished attempt if it succeeded, and otherwise waits for that of the other
// one.
func (a *Acceptor) resolveRace(f *forwardedRequest, finished *pendingAttempt, r result, other *pendingAttempt) (forwarder.Answer, error) {
	f.head.Target = finished.head.Target
	if r.succeeded() {
		other.cancelAndClose()
		return r.answer, nil
	}
	f.recordReached(r.err)
	if r.err == nil {
		_ = r.answer.Body.Close()
	}
	r = <-other.done
	f.head.Target = other.head.Target
	return r.answer, r.err
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
func (a *Acceptor) allowHedge(ctx context.Context, f *forwardedRequest) (allowed <-chan bool, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	attempt, id := f.attempt, f.head.AttemptID
	attempt.Reached++
	answer := make(chan bool, 1)
	var group errgroup.Group
	group.Go(func() error {
		stop, stopped := a.decide(ctx, retrier.Slow{}, attempt).(retrier.Stop)
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
