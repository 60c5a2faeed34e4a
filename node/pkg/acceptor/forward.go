package acceptor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/node/pkg/carrier"
	"samphiremount.example/node/pkg/viewer"
)

// forwarding is one request on its way through as many attempts as it takes. Doubt is set once an attempt may have
// run: a later one that did not run does not take that back.
type forwarding struct {
	head     carrier.Head
	body     *body
	attempts int
	attempt  retrier.Attempt
	tried    []string
	doubt    bool
}

// forward sends a request to a target, and to another one after a failure where that is safe and within the budget.
func (a *Acceptor) forward(ctx context.Context, forwarded forwarding) (carrier.Answer, error) {
	f := &forwarded
	a.Retrier.Asked(time.Now(), f.head.Service)
	f.attempt = retrier.Attempt{
		Service: f.head.Service, Number: 1, Most: f.attempts, Repeatable: f.head.Repeatable, Deadline: f.head.Deadline,
	}
	var last error
	for {
		answer, sent, err := a.try(ctx, f)
		if !sent && last != nil {
			// No other target is left, so the last attempt's refusal says more.
			return carrier.Answer{}, last
		}
		if !sent {
			return carrier.Answer{}, err
		}
		if !a.again(ctx, f, answer, err) {
			return answer, f.truth(err)
		}
		last = f.truth(err)
		if err == nil {
			_ = answer.Body.Close()
			last = refuser.Fail(refuser.OutcomeUnknown, "a target failed it, and no other answered")
		}
		f.attempt.Number++
		f.head.ID = fmt.Sprintf("%s.%d", f.head.Request, f.attempt.Number)
	}
}

// try makes one attempt. Sent is false if there was no target to send it to.
func (a *Acceptor) try(ctx context.Context, f *forwarding) (answer carrier.Answer, sent bool, err error) {
	view := a.Viewer.View()
	choice, err := a.chooser.choose(view, f.head, f.tried...)
	if err != nil {
		return carrier.Answer{}, false, err
	}
	target, node := choice.Placement.Target, choice.Placement.Node
	f.tried = append(f.tried, target.Name)
	f.head.Target, f.head.Incarnation = target.Name, node.Incarnation
	way := carrier.Way{Address: node.Address, Relays: func() []string { return a.relays(view, node.Name) }}
	answer, err = a.Client.Carry(ctx, way, f.head, f.body.reader())
	a.chooser.observe(target, answer, err)
	if err != nil {
		a.chooser.leave(target.Name)
		return carrier.Answer{}, true, f.blame(ctx, err)
	}
	answer.Body = countedBody{answer.Body, sync.OnceFunc(func() { a.chooser.leave(target.Name) })}
	return answer, true, nil
}

// again reports whether the request goes out once more after an attempt that ended with answer or err.
func (a *Acceptor) again(ctx context.Context, f *forwarding, answer carrier.Answer, err error) bool {
	var event retrier.Event = retrier.Answered{Status: answer.Status}
	if err != nil {
		event = retrier.Refused{Refusal: refuser.From(err)}
	}
	if ctx.Err() != nil || !f.body.replayable() {
		return false
	}
	switch decision := a.Retrier.Decide(time.Now(), event, f.attempt).(type) {
	case retrier.Send:
		a.Route.Info("request sent again", "request", f.head.ID, "target", f.head.Target, "reason", decision.Reason)
		f.doubt = f.doubt || err == nil || refuser.From(err).Outcome != refuser.NotRun{}
		return true
	case retrier.Stop:
		if err != nil {
			a.Route.Info("request given up", "request", f.head.ID, "target", f.head.Target, "reason", decision.Reason)
		}
	}
	return false
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
