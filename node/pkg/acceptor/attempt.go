package acceptor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/retrier"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/carrier"
)

// trialHedge is the part of the usual time after which a request on trial is hedged.
const trialHedge = 0.6

// sending is one attempt on its way. Its result comes once.
type sending struct {
	head      carrier.Head
	placement tracker.Placement
	trial     bool
	cancel    context.CancelFunc
	group     errgroup.Group
	done      chan result
}

type result struct {
	answer carrier.Answer
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
		answer, err := a.Client.Carry(ctx, way, s.head, body)
		a.chooser.observe(s.placement, answer, err)
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

// hedge waits for first, and launches a second attempt if that takes long and the budget allows it. It returns nil once
// first has a result.
func (a *Acceptor) hedge(ctx context.Context, f *forwarding, first *sending) *sending {
	if !f.head.Hedged || f.head.Insist {
		return nil
	}
	after := a.HedgeAfter
	if first.trial {
		after *= trialHedge
	}
	timer := time.NewTimer(time.Duration(after * float64(f.head.Allowed)))
	defer timer.Stop()
	select {
	case r := <-first.done:
		first.done <- r
		return nil
	case <-timer.C:
	}
	attempt := f.attempt
	attempt.Reached++
	decision := a.decide(ctx, retrier.Slow{}, attempt)
	if stop, ok := decision.(retrier.Stop); ok {
		a.Route.Info("request not hedged", "request", f.head.ID, "reason", stop.Reason)
		return nil
	}
	f.next()
	second, err := a.launch(ctx, f)
	if err != nil {
		a.Route.Info("request not hedged", "request", f.head.ID, "reason", err.Error())
		return nil
	}
	a.Route.Info("request hedged", "request", f.head.ID, "target", f.head.Target)
	return second
}

// await returns the first good result of the attempts, or else the last one. The attempt that it belongs to is the one
// that f goes on from.
func (a *Acceptor) await(f *forwarding, first, second *sending) (carrier.Answer, error) {
	if second == nil {
		r := <-first.done
		return r.answer, r.err
	}
	current, other := first, second
	var r result
	select {
	case r = <-first.done:
	case r = <-second.done:
		current, other = second, first
	}
	if r.good() {
		other.abandon()
		f.head.Target = current.head.Target
		return r.answer, nil
	}
	f.head.Target = current.head.Target
	f.count(r.err)
	if r.err == nil {
		_ = r.answer.Body.Close()
	}
	r = <-other.done
	f.head.Target = other.head.Target
	return r.answer, r.err
}
