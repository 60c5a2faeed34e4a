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

// acquireMessage tells of requests of Service that came in since the last message, and of sends that nobody asked for. It
// asks for one send if Draw is set.
type acquireMessage struct {
	Service  string  `cbor:"1,keyasint"`
	Requests int     `cbor:"2,keyasint,omitempty"`
	Acquire  bool    `cbor:"3,keyasint,omitempty"`
	Charged  float64 `cbor:"4,keyasint,omitempty"`
}

type acquireReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
}

// Server holds the ledgers of one control process. Nodes ask one control process for each service. When they turn to
// another one, its ledger starts empty.
type Server struct {
	allowance Allowance
	log       *slog.Logger

	mu      sync.Mutex
	buckets map[string]Bucket
}

// NewServer returns a server that grants within allowance for each service.
func NewServer(allowance Allowance, log *slog.Logger) *Server {
	return &Server{allowance: allowance, log: log, buckets: make(map[string]Bucket)}
}

// Register adds the call to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callAcquire] = func(stream drpc.Stream) error {
		var message acquireMessage
		if err := stream.MsgRecv(&message, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive question for a send")
		}
		reply := acquireReply{Granted: s.acquire(time.Now(), message)}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "answer question for a send")
	}
}

func (s *Server) acquire(now time.Time, message acquireMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.buckets[message.Service].WithRequests(now, s.allowance, max(message.Requests, 0))
	ledger = ledger.WithCharged(s.allowance, max(message.Charged, 0))
	granted := false
	if message.Acquire {
		ledger, granted = ledger.Acquire(now, s.allowance)
		s.log.Info("further send decided", "service", message.Service, "granted", granted)
	}
	s.buckets[message.Service] = ledger
	return granted
}
