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
	// tombstoneCallTimeout bounds each call for a tombstone, tombstoneTimeout all calls for one request.
	tombstoneCallTimeout = 400 * time.Millisecond
	tombstoneTimeout     = tombstoneCallTimeout + 100*time.Millisecond
)

// tombstoneRequest asks for a tombstone, or only for the state of the attempt if Look is set. If Address is set, the receiver
// relays the request to the gate at that address.
type tombstoneRequest struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	StartBefore int64  `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint,omitempty"`
	Look        bool   `cbor:"5,keyasint,omitempty"`
}

type tombstoneReply struct {
	State string `cbor:"1,keyasint"`
}

func (r tombstoneRequest) identity() tombstoner.Identity {
	return tombstoner.Identity{
		ID: r.ID, Incarnation: r.Incarnation, StartBefore: tombstoner.GateTime(r.StartBefore),
	}
}

// outcomeUnknown reports whether err leaves the outcome unknown, for a reason other than the caller's cancellation or
// its truncated body.
func outcomeUnknown(ctx context.Context, err error) bool {
	refusal := refuser.From(err)
	if refusal.Outcome != (refuser.Unknown{}) || refusal.Kind == refuser.BodyCut {
		return false
	}
	return !errors.Is(ctx.Err(), context.Canceled)
}

// placeTombstone requests a tombstone for the request of head, and returns the gate's reply.
func (c *Client) placeTombstone(ctx context.Context, destination Destination, head Head) (tombstoner.State, bool) {
	state, ok := c.askGate(ctx, destination, head, false)
	c.log.Info("tombstone asked for", "request", head.AttemptID, "target", head.Target, "state", replyName(state, ok))
	return state, ok
}

// look asks what the gate knows about the request of head, and changes nothing there.
func (c *Client) look(ctx context.Context, destination Destination, head Head) (tombstoner.State, bool) {
	state, ok := c.askGate(ctx, destination, head, true)
	c.log.Info("silent gate asked", "request", head.AttemptID, "target", head.Target, "state", replyName(state, ok))
	return state, ok
}

func replyName(state tombstoner.State, ok bool) string {
	if !ok {
		return "no reply"
	}
	return tombstoner.Name(state)
}

// askGate asks about the request of head over a new connection to the gate and through other nodes at the same time, and
// returns the first reply. It may outlast the deadline of the request by tombstoneTimeout.
func (c *Client) askGate(ctx context.Context, destination Destination, head Head, look bool) (tombstoner.State, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tombstoneTimeout)
	defer cancel()
	identity := head.Identity()
	request := tombstoneRequest{
		ID: identity.ID, Incarnation: identity.Incarnation, StartBefore: int64(identity.StartBefore), Look: look,
	}
	state, ok := c.requestTombstone(ctx, destination, request)
	if !ok {
		c.counts.Add("settle_no_reply", 1)
		return state, false
	}
	c.counts.Add("settle_"+tombstoner.Name(state), 1)
	return state, true
}

// resolveOutcome returns the error for the request of head, whose exchange failed with cause: a refusal with the
// outcome NotRun if the gate promised that the request will not start, and otherwise cause.
func (c *Client) resolveOutcome(ctx context.Context, destination Destination, head Head, cause error) error {
	state, ok := c.placeTombstone(ctx, destination, head)
	if !ok || tombstoner.Outcome(state) != (refuser.NotRun{}) {
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

// requestTombstone sends request to the gate and to all relays, and returns the first reply.
func (c *Client) requestTombstone(ctx context.Context, destination Destination, request tombstoneRequest) (tombstoner.State, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := request
	relayed.Address = destination.Address
	relays := destination.Relays()
	replies := make(chan tombstoner.State, 1+len(relays))
	var group errgroup.Group
	call := func(address string, request tombstoneRequest) {
		group.Go(func() error {
			state, err := c.requestTombstoneFrom(ctx, address, request)
			if err == nil {
				replies <- state
			}
			return nil
		})
	}
	call(destination.Address, request)
	for _, relay := range relays {
		call(relay, relayed)
	}
	select {
	case state := <-replies:
		return state, true
	case <-ctx.Done():
		return nil, false
	}
}

// requestTombstoneFrom makes one call over a new connection, since the pooled connections may be those that stopped
// responding.
func (c *Client) requestTombstoneFrom(ctx context.Context, address string, request tombstoneRequest) (tombstoner.State, error) {
	ctx, cancel := context.WithTimeout(ctx, tombstoneCallTimeout)
	defer cancel()
	conn, err := c.pool.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var reply tombstoneReply
	if err := conn.Invoke(ctx, callTombstone, messenger.Encoding{}, &request, &reply); err != nil {
		return nil, errors.Wrap(err, "request tombstone")
	}
	return tombstoner.Parse(reply.State), nil
}

func (s *Server) placeTombstone(stream drpc.Stream) error {
	var request tombstoneRequest
	if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive tombstone request")
	}
	var state tombstoner.State
	switch {
	case request.Address == "" && request.Look:
		state = s.look(request.identity())
	case request.Address == "":
		state = s.gate.PlaceTombstone(request.identity())
	default:
		address := request.Address
		request.Address = ""
		var err error
		if state, err = s.client.requestTombstoneFrom(stream.Context(), address, request); err != nil {
			return err
		}
	}
	reply := tombstoneReply{tombstoner.Name(state)}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send tombstone state")
}

// look returns what is known about identity.
func (s *Server) look(identity tombstoner.Identity) tombstoner.State {
	// A request that arrives in between counts as unseen, which a later tombstone corrects.
	arrived := s.requests.Contains(identity.ID)
	state := s.gate.Look(identity)
	if arrived && state == (tombstoner.Unseen{}) {
		return tombstoner.Waiting{}
	}
	return state
}
