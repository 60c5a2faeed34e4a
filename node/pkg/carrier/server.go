package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
)

// Server answers the calls of other nodes' clients.
type Server struct {
	gate   Gate
	client *Client

	mu       sync.Mutex
	active   int
	stopping bool
	idle     chan struct{}
}

// NewServer returns a server that runs requests on gate. With client it asks other gates for tombstones on behalf of
// nodes that can't reach them.
func NewServer(gate Gate, client *Client) *Server {
	return &Server{gate: gate, client: client, idle: make(chan struct{})}
}

// Register adds the server's calls to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callCarry] = s.carry
	mux[callClock] = s.clock
	mux[callBury] = s.bury
	mux[callCrash] = s.crash
}

// Stop refuses new requests from now on and waits until the earlier ones have ended, or ctx.
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
		return errors.Wrap(ctx.Err(), "finish requests of other nodes")
	}
}

// enter counts a request in, unless the server is stopping.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.active++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.stopping && s.active == 0 {
		close(s.idle)
	}
}

func (s *Server) carry(stream drpc.Stream) error {
	var first frame
	if err := stream.MsgRecv(&first, frameEncoding{}); err != nil {
		return errors.Wrap(err, "receive head")
	}
	var wire headBody
	if first.kind != frameHead {
		return errors.Newf("frame %d in place of a head", first.kind)
	}
	if err := messenger.Unmarshal(first.data, &wire); err != nil {
		return err
	}
	head := wire.head(time.Now())
	ctx, cancel := context.WithDeadline(stream.Context(), head.Deadline)
	defer cancel()
	body := newBodyReader(receiveFrom(stream))
	if head.Length != 0 {
		// Messages that stay unread would hold up the end of the stream, and with it the next request.
		defer body.drain()
	}
	if !s.enter() {
		return s.refuse(stream, refuser.From(refuser.Refuse(refuser.NodeStopping, "")))
	}
	defer s.leave()
	// The entry learns at once that the way is open. A way that is not is its business.
	_ = send(stream, frameProgress, progressBody{})
	progress := newProgress(func() { _ = send(stream, frameProgress, progressBody{s.gate.Running(head.ID)}) })
	defer progress.stop()
	answer, err := s.gate.Run(ctx, head, body)
	if err != nil {
		return s.refuse(stream, refuser.From(err))
	}
	defer func() { _ = answer.Body.Close() }()
	start := answerBody{ID: head.ID, Status: answer.Status, Header: answer.Header, Reading: s.reading()}
	if err := send(stream, frameAnswer, start); err != nil {
		return err
	}
	return sendBody(stream, answer.Body)
}

func (s *Server) refuse(stream drpc.Stream, refusal *refuser.Refusal) error {
	return send(stream, frameRefused, refusedBody{
		Kind: string(refusal.Kind), Outcome: refusal.Outcome.String(), Detail: refusal.Detail, Reading: s.reading(),
		Load: refusal.Load,
	})
}

func (s *Server) reading() int64 {
	return int64(s.gate.Clock().Reading)
}
