package acceptor

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/granter"
	"samphiremount.example/core/refuser"
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

// pendingAttempt is an attempt that was started. Its result is sent to done once. silent is set when its gate gives no sign of
// life. extra is set if it was started beside another one.
type pendingAttempt struct {
	head      forwarder.Head
	placement tracker.Placement
	trial     bool
	cancel    context.CancelFunc
	group     errgroup.Group
	done      chan result
	silent    atomic.Bool
	extra     bool
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
	f.inFlight = append(f.inFlight, target.Name)
	a.setRetried(f)
	f.head.Target, f.head.Incarnation, f.head.Limit = target.Name, node.Incarnation, a.chooser.limit(target.Name)
	body := granter.Body{Upload: f.head.Upload, Length: f.head.Length, Remote: node.Centre != a.Locality.Centre}
	if f.head.Withheld = body.Withhold(); f.head.Withheld {
		f.body.readAhead()
	}
	ctx, cancel := context.WithCancel(ctx)
	pending := &pendingAttempt{
		head: f.head, placement: choice.Placement, trial: choice.Trial, cancel: cancel, done: make(chan result, 1),
		launch: new(forwarder.Launch),
	}
	destination := a.chooser.destination(choice.Placement, func() []string { return a.relays(view, node.Name) })
	destination.Launch = pending.launch
	destination.OnSilence = func(reached bool) {
		if !reached {
			a.chooser.recordSilence(pending.placement)
		}
		pending.silent.Store(true)
		f.wakeRace()
	}
	notRun, attempt := notRunEvent(refuser.NodeUnreachable), f.attempt
	destination.MayResend = func() bool {
		return f.body.replayable() && a.Retrier.Allows(time.Now(), notRun, attempt)
	}
	reader := f.body.reader()
	pending.group.Go(func() error {
		answer, err := a.Client.Forward(ctx, destination, pending.head, reader)
		a.chooser.recordAttempt(pending.placement, pending.head, answer, err)
		finish := sync.OnceFunc(func() {
			cancel()
			a.chooser.endRequest(target.Name)
		})
		defer f.wakeRace()
		if err != nil {
			finish()
			pending.done <- result{err: f.withBodyTruncated(ctx, err)}
			return nil
		}
		answer.Body = closeNotifyBody{answer.Body, finish, cancel}
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
