package carrier

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

const (
	// settlePart bounds each way of asking for a tombstone, settleLimit all of them.
	settlePart  = 400 * time.Millisecond
	settleLimit = settlePart + 100*time.Millisecond
)

// buryBody asks for a tombstone. With Address set, the receiver passes the question on to the gate there.
type buryBody struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	StartBefore int64  `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint,omitempty"`
}

type buriedBody struct {
	State string `cbor:"1,keyasint"`
}

func (b buryBody) identity() tombstoner.Identity {
	return tombstoner.Identity{
		ID: b.ID, Incarnation: b.Incarnation, StartBefore: tombstoner.GateTime(b.StartBefore),
	}
}

// doubtful reports whether the outcome behind err is unknown for a reason other than the caller's own.
func doubtful(ctx context.Context, err error) bool {
	refusal := refuser.From(err)
	if refusal.Outcome != (refuser.Unknown{}) || refusal.Kind == refuser.BodyCut {
		return false
	}
	return !errors.Is(ctx.Err(), context.Canceled)
}

// burier returns what an exchange asks with when its gate is silent: nothing for a request that may be repeated.
func (c *Client) burier(ctx context.Context, way Way, head Head) func() bool {
	if head.Repeatable {
		return nil
	}
	return func() bool { return c.bury(ctx, way, head) }
}

// bury asks for a tombstone for the request of head: by a new connection to the gate and through other nodes at the same
// time. It reports whether the gate promised that the request will not start. It may outlast the deadline of the request
// by settleLimit.
func (c *Client) bury(ctx context.Context, way Way, head Head) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	identity := head.Identity()
	question := buryBody{ID: identity.ID, Incarnation: identity.Incarnation, StartBefore: int64(identity.StartBefore)}
	state, ok := c.askAll(ctx, way, question)
	if !ok {
		c.counts.Add("settle_no_reply", 1)
		c.log.Info("tombstone asked for", "request", head.ID, "target", head.Target, "state", "no reply")
		return false
	}
	c.counts.Add("settle_"+tombstoner.Name(state), 1)
	c.log.Info("tombstone asked for", "request", head.ID, "target", head.Target, "state", tombstoner.Name(state))
	return tombstoner.Outcome(state) == (refuser.NotRun{})
}

// settle returns what became of the request of head, whose exchange failed with cause: a refusal that is NotRun if the gate
// promised that the request will not start, else cause.
func (c *Client) settle(ctx context.Context, way Way, head Head, cause error) error {
	if !c.bury(ctx, way, head) {
		return cause
	}
	refusal := *refuser.From(cause)
	if refusal.Kind != refuser.DeadlinePassed {
		refusal.Kind = refuser.NodeUnreachable
	}
	refusal.Outcome = refuser.NotRun{}
	refusal.Detail = "the gate promised not to start it, after: " + refusal.Detail
	return &refusal
}

// askAll returns the first reply to question.
func (c *Client) askAll(ctx context.Context, way Way, question buryBody) (tombstoner.State, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := question
	relayed.Address = way.Address
	relays := way.Relays()
	replies := make(chan tombstoner.State, 1+len(relays))
	var group errgroup.Group
	ask := func(address string, question buryBody) {
		group.Go(func() error {
			state, err := c.ask(ctx, address, question)
			if err == nil {
				replies <- state
			}
			return nil
		})
	}
	ask(way.Address, question)
	for _, relay := range relays {
		ask(relay, relayed)
	}
	select {
	case state := <-replies:
		return state, true
	case <-ctx.Done():
		return nil, false
	}
}

// ask makes one bury call on a connection of its own, since the pooled ones may be those that went silent.
func (c *Client) ask(ctx context.Context, address string, question buryBody) (tombstoner.State, error) {
	ctx, cancel := context.WithTimeout(ctx, settlePart)
	defer cancel()
	conn, err := c.pool.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var reply buriedBody
	if err := conn.Invoke(ctx, callBury, messenger.Encoding{}, &question, &reply); err != nil {
		return nil, errors.Wrap(err, "ask for a tombstone")
	}
	return tombstoner.Parse(reply.State), nil
}

func (s *Server) bury(stream drpc.Stream) error {
	var question buryBody
	if err := stream.MsgRecv(&question, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive question for a tombstone")
	}
	var state tombstoner.State
	if question.Address == "" {
		state = s.gate.PlaceTombstone(question.identity())
	} else {
		address := question.Address
		question.Address = ""
		var err error
		if state, err = s.client.ask(stream.Context(), address, question); err != nil {
			return err
		}
	}
	reply := buriedBody{tombstoner.Name(state)}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send state of identity")
}
