package forwarder

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
	// tombstoneCallTimeout bounds each way of asking for a tombstone, settleLimit all of them.
	tombstoneCallTimeout = 400 * time.Millisecond
	tombstoneTimeout     = tombstoneCallTimeout + 100*time.Millisecond
)

// tombstoneRequest asks for a tombstone. With Address set, the receiver passes the question on to the gate there.
type tombstoneRequest struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	StartBefore int64  `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint,omitempty"`
}

type tombstoneReply struct {
	State string `cbor:"1,keyasint"`
}

func (b tombstoneRequest) identity() tombstoner.Identity {
	return tombstoner.Identity{
		ID: b.ID, Incarnation: b.Incarnation, StartBefore: tombstoner.GateTime(b.StartBefore),
	}
}

// outcomeUnknown reports whether the outcome behind err is unknown for a reason other than the caller's own.
func outcomeUnknown(ctx context.Context, err error) bool {
	refusal := refuser.From(err)
	if refusal.Outcome != (refuser.Unknown{}) || refusal.Kind == refuser.BodyCut {
		return false
	}
	return !errors.Is(ctx.Err(), context.Canceled)
}

// tombstoneFunc returns what an exchange asks with when its gate is silent: nothing for a request that may be repeated.
func (c *Client) tombstoneFunc(ctx context.Context, way Destination, head Head) func() bool {
	if head.Repeatable {
		return nil
	}
	return func() bool { return c.placeTombstone(ctx, way, head) }
}

// placeTombstone asks for a tombstone for the request of head: by a new connection to the gate and through other nodes at the same
// time. It reports whether the gate promised that the request will not start. It may outlast the deadline of the request
// by settleLimit.
func (c *Client) placeTombstone(ctx context.Context, way Destination, head Head) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tombstoneTimeout)
	defer cancel()
	identity := head.Identity()
	question := tombstoneRequest{ID: identity.ID, Incarnation: identity.Incarnation, StartBefore: int64(identity.StartBefore)}
	state, ok := c.requestTombstone(ctx, way, question)
	if !ok {
		c.counts.Add("settle_no_reply", 1)
		c.log.Info("tombstone asked for", "request", head.ID, "target", head.Target, "state", "no reply")
		return false
	}
	c.counts.Add("settle_"+tombstoner.Name(state), 1)
	c.log.Info("tombstone asked for", "request", head.ID, "target", head.Target, "state", tombstoner.Name(state))
	return tombstoner.Outcome(state) == (refuser.NotRun{})
}

// resolveOutcome returns what became of the request of head, whose exchange failed with cause: a refusal that is NotRun if the gate
// promised that the request will not start, else cause.
func (c *Client) resolveOutcome(ctx context.Context, way Destination, head Head, cause error) error {
	if !c.placeTombstone(ctx, way, head) {
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

// requestTombstone returns the first reply to question.
func (c *Client) requestTombstone(ctx context.Context, way Destination, question tombstoneRequest) (tombstoner.State, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := question
	relayed.Address = way.Address
	relays := way.Relays()
	replies := make(chan tombstoner.State, 1+len(relays))
	var group errgroup.Group
	ask := func(address string, question tombstoneRequest) {
		group.Go(func() error {
			state, err := c.requestTombstoneFrom(ctx, address, question)
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

// requestTombstoneFrom makes one bury call on a connection of its own, since the pooled ones may be those that went silent.
func (c *Client) requestTombstoneFrom(ctx context.Context, address string, question tombstoneRequest) (tombstoner.State, error) {
	ctx, cancel := context.WithTimeout(ctx, tombstoneCallTimeout)
	defer cancel()
	conn, err := c.pool.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var reply tombstoneReply
	if err := conn.Invoke(ctx, callTombstone, messenger.Encoding{}, &question, &reply); err != nil {
		return nil, errors.Wrap(err, "ask for a tombstone")
	}
	return tombstoner.Parse(reply.State), nil
}

func (s *Server) placeTombstone(stream drpc.Stream) error {
	var question tombstoneRequest
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
		if state, err = s.client.requestTombstoneFrom(stream.Context(), address, question); err != nil {
			return err
		}
	}
	reply := tombstoneReply{tombstoner.Name(state)}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send state of identity")
}
