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
	gate Gate
}

// NewServer returns a server that runs requests on gate.
func NewServer(gate Gate) *Server {
	return &Server{gate: gate}
}

// Register adds the server's calls to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callCarry] = s.carry
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
	answer, err := s.gate.Run(ctx, head, newBodyReader(stream))
	if err != nil {
		refusal := refuser.From(err)
		return send(stream, frameRefused, refusedBody{
			Kind: string(refusal.Kind), Outcome: refusal.Outcome.String(), Detail: refusal.Detail,
		})
	}
	defer func() { _ = answer.Body.Close() }()
	if err := send(stream, frameAnswer, answerBody{ID: head.ID, Status: answer.Status, Header: answer.Header}); err != nil {
		return err
	}
	return sendBody(stream, answer.Body)
}
