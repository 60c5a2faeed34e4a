package budgeter

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
)

const callAcquire = "draw"

// acquireMessage reports the requests of Service since the last message and the estimated number of extra attempts that
// were sent without a grant (Charged). If Acquire is set, it asks for one extra attempt.
type acquireMessage struct {
	Service  string  `cbor:"1,keyasint"`
	Requests int     `cbor:"2,keyasint,omitempty"`
	Acquire  bool    `cbor:"3,keyasint,omitempty"`
	Charged  float64 `cbor:"4,keyasint,omitempty"`
}

type acquireReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
}

// Server holds the buckets of one control process. All nodes use the same control process for a service. If they change
// to another one, its bucket starts empty.
type Server struct {
	log *slog.Logger

	mu     sync.Mutex
	ledger *Ledger
}

// NewServer returns a server that grants within allowance for each service.
func NewServer(allowance Allowance, log *slog.Logger) *Server {
	return &Server{log: log, ledger: NewLedger(allowance)}
}

// Register adds the handler of requests for extra attempts to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callAcquire] = func(stream drpc.Stream) error {
		var message acquireMessage
		if err := stream.MsgRecv(&message, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive request for an extra attempt")
		}
		reply := acquireReply{Granted: s.acquire(time.Now(), message)}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "answer request for an extra attempt")
	}
}

func (s *Server) acquire(now time.Time, message acquireMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Apply(now, Report{Service: message.Service, Requests: message.Requests, Charged: message.Charged})
	if !message.Acquire {
		return false
	}
	granted := s.ledger.Acquire(now, message.Service)
	s.log.Info("further send decided", "service", message.Service, "granted", granted, "level", s.ledger.Level(message.Service))
	return granted
}
