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

// acquireMessage is a report. If Service is set, it also asks for one extra attempt of that service.
type acquireMessage struct {
	Service  string                  `cbor:"1,keyasint,omitempty"`
	Requests map[string]RequestCount `cbor:"2,keyasint,omitempty"`
	Calls    []callMessage           `cbor:"3,keyasint,omitempty"`
	Hedge    bool                    `cbor:"4,keyasint,omitempty"`
}

type callMessage struct {
	Edge  Edge      `cbor:"1,keyasint"`
	Count CallCount `cbor:"2,keyasint"`
}

type acquireReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
}

func newMessage(report Report, extra Extra) acquireMessage {
	message := acquireMessage{Service: extra.Service, Hedge: extra.Hedge, Requests: report.Requests}
	for edge, count := range report.Calls {
		message.Calls = append(message.Calls, callMessage{edge, count})
	}
	return message
}

func (m acquireMessage) report() Report {
	report := Report{Requests: m.Requests, Calls: make(map[Edge]CallCount)}
	for _, call := range m.Calls {
		report.Calls[call.Edge] = call.Count
	}
	return report
}

// Server holds the ledger of one control process. All nodes use the same control process. If they change to another one,
// its buckets start empty.
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
	s.ledger.Apply(now, message.report())
	if message.Service == "" {
		return false
	}
	granted, lacking := s.ledger.Acquire(now, Extra{Service: message.Service, Hedge: message.Hedge})
	s.log.Info("further send decided", "service", message.Service, "hedge", message.Hedge, "granted", granted, "lacking", lacking,
		"level", s.ledger.Level(message.Service))
	return granted
}
