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
	// trialHedge is the part of the usual time after which a request on trial is hedged.
	trialHedge = 0.6
	// latestHedge is the part of the objective after which a request is hedged, however long such requests take.
	latestHedge = 0.9
)

// sending is one attempt on its way. Its result comes once.
type sending struct {
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

// good reports whether the result ends the request, whatever another attempt may bring.
func (r result) good() bool {
	return r.err == nil && r.answer.Status < http.StatusInternalServerError
}

// launch chooses a target and sends the request there.
func (a *Acceptor) launch(ctx context.Context, f *forwarding) (*sending, error) {
	view := a.Viewer.View()
	choice, err := a.choose(view, f)
	if err != nil {
		return nil, err
	}
	target, node := choice.Placement.Target, choice.Placement.Node
	f.tried = append(f.tried, target.Name)
	f.head.Target, f.head.Incarnation = target.Name, node.Incarnation
	ctx, cancel := context.WithCancel(ctx)
	s := &sending{head: f.head, placement: choice.Placement, trial: choice.Trial, cancel: cancel, done: make(chan result, 1)}
	way := a.chooser.way(choice.Placement, func() []string { return a.relays(view, node.Name) })
	body := f.body.reader()
	s.group.Go(func() error {
		answer, err := a.Client.Forward(ctx, way, s.head, body)
		a.chooser.observe(s.placement, s.head, answer, err)
		ended := sync.OnceFunc(func() {
			cancel()
			a.chooser.leave(target.Name)
		})
		if err != nil {
			ended()
			s.done <- result{err: f.blame(ctx, err)}
			return nil
		}
		answer.Body = countedBody{answer.Body, ended}
		s.done <- result{answer: answer}
		return nil
	})
	return s, nil
}

// abandon ends an attempt whose result is no longer wanted.
func (s *sending) abandon() {
	s.cancel()
	s.group.Go(func() error {
		if r := <-s.done; r.err == nil {
			return r.answer.Body.Close()
		}
		return nil
	})
}

// race runs one attempt and, if that takes long and the budget allows it, a second one beside it. It returns the first
// good result, or else the last one. A second attempt that its gate refuses goes elsewhere.
func (a *Acceptor) race(ctx context.Context, f *forwarding, first *sending) (forwarder.Answer, error) {
	select {
	case r := <-first.done:
		return r.answer, r.err
	case <-a.hedgeDue(f, first):
	}
	allowed, end := a.allowHedge(ctx, f)
	defer end()
	var second *sending
	select {
	case r := <-first.done:
		return r.answer, r.err
	case ok := <-allowed:
		if ok {
			second = a.launchHedge(ctx, f)
		}
	}
	for second != nil {
		select {
		case r := <-first.done:
			return a.settle(f, first, r, second)
		case r := <-second.done:
			if r.err == nil || refuser.From(r.err).Outcome != (refuser.NotRun{}) {
				return a.settle(f, second, r, first)
			}
			second = a.relaunch(ctx, f, second, r.err)
		}
	}
	r := <-first.done
	f.head.Target = first.head.Target
	return r.answer, r.err
}

// settle takes the result of one attempt while another is on its way.
func (a *Acceptor) settle(f *forwarding, ended *sending, r result, other *sending) (forwarder.Answer, error) {
	f.head.Target = ended.head.Target
	if r.good() {
		other.abandon()
		return r.answer, nil
	}
	f.noteReached(r.err)
	if r.err == nil {
		_ = r.answer.Body.Close()
	}
	r = <-other.done
	f.head.Target = other.head.Target
	return r.answer, r.err
}

// hedgeDue returns when first is to be hedged, or a channel that is never ready.
func (a *Acceptor) hedgeDue(f *forwarding, first *sending) <-chan time.Time {
	if !f.head.Hedged || f.attempt.Reached > 0 {
		return nil
	}
	after := max(time.Duration(a.HedgeAfter*float64(f.head.MaxExpectedLatency)), a.chooser.high(f.head.MaxExpectedLatency))
	after = min(after, time.Duration(latestHedge*float64(f.head.MaxExpectedLatency)))
	if first.trial {
		after = time.Duration(trialHedge * float64(after))
	}
	return time.After(after)
}

// allowHedge asks whether the budget allows a second attempt, until end is called. The shared budget may take a while to
// answer, in which the first attempt goes on.
func (a *Acceptor) allowHedge(ctx context.Context, f *forwarding) (allowed <-chan bool, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	attempt, id := f.attempt, f.head.ID
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

func (a *Acceptor) launchHedge(ctx context.Context, f *forwarding) *sending {
	f.next()
	f.head.HealthyOnly = true
	second, err := a.launch(ctx, f)
	if err != nil {
		a.RouteLog.Info("request not hedged", "request", f.head.ID, "reason", err.Error())
		return nil
	}
	a.RouteLog.Info("request hedged", "request", f.head.ID, "target", f.head.Target)
	return second
}

// relaunch sends a second attempt elsewhere that was refused before it ran, as often as the policy allows.
func (a *Acceptor) relaunch(ctx context.Context, f *forwarding, refused *sending, err error) *sending {
	decision := a.Retrier.Decide(time.Now(), retrier.Refused{Refusal: refuser.From(err)}, f.attempt)
	if stop, ok := decision.(retrier.Stop); ok {
		a.RouteLog.Info("hedge given up", "request", refused.head.ID, "reason", stop.Reason)
		return nil
	}
	return a.launchHedge(ctx, f)
}
