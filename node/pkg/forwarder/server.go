package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/counter"
	"samphiremount.example/node/pkg/finisher"
)

// bodyGrace is how long after its deadline a request is aborted whose body has not ended. It leaves time for the answer.
const bodyGrace = 300 * time.Millisecond

// Server answers the calls of other nodes' clients.
type Server struct {
	gate     Gate
	client   *Client
	gossip   *gossiper.Gossiper
	requests *finisher.Finisher
	plan     atomic.Pointer[stopper.Plan]
	memory   memory
}

// NewServer returns a server that runs requests on gate. It uses client to request tombstones from other gates on
// behalf of nodes that can't reach them, and its gossip.
func NewServer(gate Gate, client *Client) *Server {
	return &Server{gate: gate, client: client, gossip: client.gossip, requests: finisher.New()}
}

// Register adds to mux the handlers of calls from other nodes.
func (s *Server) Register(mux messenger.Mux) {
	mux[callForward] = s.forward
	mux[callClock] = s.clock
	mux[callTombstone] = s.placeTombstone
	mux[callCrash] = s.crash
	mux[callCrashes] = s.crashes
}

// Active returns the requests of other nodes in progress at now.
func (s *Server) Active(now time.Time) counter.Active { return s.requests.Active(now) }

// Stop begins a stop: plan decides from now on which new requests are refused.
func (s *Server) Stop(plan stopper.Plan) { s.plan.Store(&plan) }

// Finish waits for the requests in progress as plan says, and returns the number of those that it broke off.
func (s *Server) Finish(plan stopper.Plan) (brokenOff int) { return s.requests.Finish(plan) }

// refuses reports whether a request that arrives at now is refused because the node stops.
func (s *Server) refuses(now time.Time) bool {
	plan := s.plan.Load()
	if plan == nil {
		return false
	}
	_, refused := plan.Decide(now, stopper.FromNode{}).(stopper.Refuse)
	return refused
}

func (s *Server) forward(stream drpc.Stream) error {
	var first frame
	if err := stream.MsgRecv(&first, frameEncoding{}); err != nil {
		return errors.Wrap(err, "receive head")
	}
	var wire headMessage
	if first.kind != frameHead {
		return errors.Newf("frame of kind %d instead of a head", first.kind)
	}
	if err := messenger.Unmarshal(first.data, &wire); err != nil {
		return err
	}
	recordVerdicts(s.gossip, wire.Verdicts)
	head := wire.head(time.Now())
	ctx, cancel := context.WithDeadline(stream.Context(), head.Deadline)
	defer cancel()
	body := newGrantedBody(newBodyReader(receiveFrom(stream)), stream, head.Withheld)
	if head.Length != 0 {
		// An entry that went silent does not end its body.
		defer time.AfterFunc(time.Until(head.Deadline)+bodyGrace, func() { _ = stream.Close() }).Stop()
		// Unread messages would block the end of the stream, and with it the next request on the connection.
		defer body.drain()
	}
	request := s.requests.Begin(time.Now(), head.AttemptID, cancel)
	defer request.End()
	if s.refuses(time.Now()) {
		return s.refuse(stream, refuser.From(refuser.Refuse(refuser.NodeStopping, "")))
	}
	held := memoryOf(head)
	if !s.memory.take(held) {
		return s.refuse(stream, refuser.From(refuser.Refuse(refuser.CapacityShort, "the gate has no memory for the request")))
	}
	defer s.memory.give(held)
	// This tells the entry at once that the connection works. If sending fails, the entry notices that no frame arrives.
	_ = send(stream, frameProgress, progressMessage{Grants: true})
	ticker := newProgressTicker(func() {
		_ = send(stream, frameProgress, progressMessage{Running: s.gate.Running(head.AttemptID), Grants: true, Granted: body.isGranted()})
	})
	defer ticker.stop()
	answer, err := s.gate.Run(ctx, head, body)
	if err != nil {
		return s.refuse(stream, refuser.From(err))
	}
	defer func() { _ = answer.Body.Close() }()
	request.Answer()
	message := answerMessage{
		ID: head.AttemptID, Status: answer.Status, Header: answer.Header, GateTime: s.gateTime(), Verdicts: digestMessage(s.gossip),
	}
	if err := send(stream, frameAnswer, message); err != nil {
		return err
	}
	return sendBody(stream, answer.Body)
}

func (s *Server) refuse(stream drpc.Stream, refusal *refuser.Refusal) error {
	message := refusalMessage{
		Kind: string(refusal.Kind), Outcome: refusal.Outcome.String(), Detail: refusal.Detail, GateTime: s.gateTime(),
		Load: refusal.Load, Verdicts: digestMessage(s.gossip),
	}
	if !refusal.RetryAt.IsZero() {
		message.RetryAfter = max(time.Until(refusal.RetryAt).Milliseconds(), 1)
	}
	return send(stream, frameRefusal, message)
}

func (s *Server) gateTime() int64 {
	return int64(s.gate.Clock().Time)
}
