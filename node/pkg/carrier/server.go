package carrier

import (
	"context"
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
}

// NewServer returns a server that runs requests on gate. With client it asks other gates for tombstones on behalf of
// nodes that can't reach them.
func NewServer(gate Gate, client *Client) *Server {
	return &Server{gate: gate, client: client}
}

// Register adds the server's calls to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callCarry] = s.carry
	mux[callClock] = s.clock
	mux[callBury] = s.bury
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
	progress := newProgress(func() { _ = send(stream, frameProgress, progressBody{s.gate.Running(head.ID)}) })
	defer progress.stop()
	body := newBodyReader(receiveFrom(stream))
	if head.Length != 0 {
		// Messages that stay unread would hold up the end of the stream, and with it the next request.
		defer body.drain()
	}
	answer, err := s.gate.Run(ctx, head, body)
	reading := int64(s.gate.Clock().Reading)
	if err != nil {
		refusal := refuser.From(err)
		return send(stream, frameRefused, refusedBody{
			Kind: string(refusal.Kind), Outcome: refusal.Outcome.String(), Detail: refusal.Detail, Reading: reading,
		})
	}
	defer func() { _ = answer.Body.Close() }()
	start := answerBody{ID: head.ID, Status: answer.Status, Header: answer.Header, Reading: reading}
	if err := send(stream, frameAnswer, start); err != nil {
		return err
	}
	return sendBody(stream, answer.Body)
}
