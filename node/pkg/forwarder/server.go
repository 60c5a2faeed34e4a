package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
)

// bodyGrace is how long after its deadline a request is given up whose body has not ended. It leaves time for the answer.
const bodyGrace = 300 * time.Millisecond

// Server answers the calls of other nodes' clients.
type Server struct {
	gate   Gate
	client *Client

	mu       sync.Mutex
	active   int
	stopping bool
	idle     chan struct{}
}

// NewServer returns a server that runs requests on gate. It uses client to request tombstones from other gates on
// behalf of nodes that can't reach them.
func NewServer(gate Gate, client *Client) *Server {
	return &Server{gate: gate, client: client, idle: make(chan struct{})}
}

// Register adds to mux the handlers of calls from other nodes.
func (s *Server) Register(mux messenger.Mux) {
	mux[callForward] = s.forward
	mux[callClock] = s.clock
	mux[callTombstone] = s.placeTombstone
	mux[callCrash] = s.crash
}

// Stop refuses new requests and waits until the active ones have ended, or until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.active == 0 {
		close(s.idle)
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests of other nodes")
	}
}

// begin counts a new request as active. It returns false if the server is stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.active++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.stopping && s.active == 0 {
		close(s.idle)
	}
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
	head := wire.head(time.Now())
	ctx, cancel := context.WithDeadline(stream.Context(), head.Deadline)
	defer cancel()
	body := newBodyReader(receiveFrom(stream))
	if head.Length != 0 {
		// An entry that went silent does not end its body.
		defer time.AfterFunc(time.Until(head.Deadline)+bodyGrace, func() { _ = stream.Close() }).Stop()
		// Unread messages would block the end of the stream, and with it the next request on the connection.
		defer body.drain()
	}
	if !s.begin() {
		return s.refuse(stream, refuser.From(refuser.Refuse(refuser.NodeStopping, "")))
	}
	defer s.end()
	// This tells the entry at once that the connection works. If sending fails, the entry notices that no frame arrives.
	_ = send(stream, frameProgress, progressMessage{})
	ticker := newProgressTicker(func() { _ = send(stream, frameProgress, progressMessage{s.gate.Running(head.AttemptID)}) })
	defer ticker.stop()
	answer, err := s.gate.Run(ctx, head, body)
	if err != nil {
		return s.refuse(stream, refuser.From(err))
	}
	defer func() { _ = answer.Body.Close() }()
	message := answerMessage{ID: head.AttemptID, Status: answer.Status, Header: answer.Header, GateTime: s.gateTime()}
	if err := send(stream, frameAnswer, message); err != nil {
		return err
	}
	return sendBody(stream, answer.Body)
}

func (s *Server) refuse(stream drpc.Stream, refusal *refuser.Refusal) error {
	return send(stream, frameRefusal, refusalMessage{
		Kind: string(refusal.Kind), Outcome: refusal.Outcome.String(), Detail: refusal.Detail, GateTime: s.gateTime(),
		Load: refusal.Load,
	})
}

func (s *Server) gateTime() int64 {
	return int64(s.gate.Clock().Time)
}
