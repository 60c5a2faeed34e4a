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
	allowance Allowance
	log       *slog.Logger

	mu      sync.Mutex
	buckets map[string]Bucket
}

// NewServer returns a server that grants within allowance for each service.
func NewServer(allowance Allowance, log *slog.Logger) *Server {
	return &Server{allowance: allowance, log: log, buckets: make(map[string]Bucket)}
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
	bucket := s.buckets[message.Service].WithRequests(now, s.allowance, max(message.Requests, 0))
	bucket = bucket.WithCharge(s.allowance, max(message.Charged, 0))
	granted := false
	if message.Acquire {
		bucket, granted = bucket.Acquire(now, s.allowance)
		s.log.Info("further send decided", "service", message.Service, "granted", granted)
	}
	s.buckets[message.Service] = bucket
	return granted
}
