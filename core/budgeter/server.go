package budgeter

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
)

const callDraw = "draw"

// drawMessage tells of requests of Service that came in since the last message, and of sends that nobody asked for. It
// asks for one send if Draw is set.
type drawMessage struct {
	Service string  `cbor:"1,keyasint"`
	Asked   int     `cbor:"2,keyasint,omitempty"`
	Draw    bool    `cbor:"3,keyasint,omitempty"`
	Charged float64 `cbor:"4,keyasint,omitempty"`
}

type drawReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
}

// Server holds the ledgers of one control process. Nodes ask one control process for each service. When they turn to
// another one, its ledger starts empty.
type Server struct {
	allowance Allowance
	log       *slog.Logger

	mu      sync.Mutex
	ledgers map[string]Ledger
}

// NewServer returns a server that grants within allowance for each service.
func NewServer(allowance Allowance, log *slog.Logger) *Server {
	return &Server{allowance: allowance, log: log, ledgers: make(map[string]Ledger)}
}

// Register adds the call to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callDraw] = func(stream drpc.Stream) error {
		var message drawMessage
		if err := stream.MsgRecv(&message, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive question for a send")
		}
		reply := drawReply{Granted: s.draw(time.Now(), message)}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "answer question for a send")
	}
}

func (s *Server) draw(now time.Time, message drawMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledgers[message.Service].With(now, s.allowance, max(message.Asked, 0))
	ledger = ledger.WithCharged(s.allowance, max(message.Charged, 0))
	granted := false
	if message.Draw {
		ledger, granted = ledger.Draw(now, s.allowance)
		s.log.Info("further send decided", "service", message.Service, "granted", granted)
	}
	s.ledgers[message.Service] = ledger
	return granted
}
