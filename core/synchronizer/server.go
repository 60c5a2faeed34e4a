package synchronizer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/ticker"
	"samphiremount.example/core/tracker"
)

// NodeLifetime is how long a node stays in the directory after its last report.
const NodeLifetime = 3 * time.Second

// ContactAge returns the time since a process was last in contact with control: a node with a control process, a
// control process with the leader.
type ContactAge func() time.Duration

// Server publishes the content of a Hub to subscribers.
type Server struct {
	hub        *Hub
	region     string
	contactAge ContactAge
	log        *slog.Logger

	mu       sync.Mutex
	applied  map[string]uint64
	presence *tracker.Presence
}

// NewServer returns a server that publishes hub and sends the result of age in every heartbeat.
func NewServer(hub *Hub, age ContactAge, log *slog.Logger) *Server {
	return &Server{hub: hub, contactAge: age, log: log, applied: make(map[string]uint64), presence: tracker.NewPresence()}
}

// SetRegion sets the region of a publisher that is a control process. Subscribers of the same kind in other regions are then
// sent what they get from elsewhere only if they lack it.
func (s *Server) SetRegion(region string) { s.region = region }

// Register adds the handler of subscriptions to mux.
func (s *Server) Register(mux messenger.Mux) {
	mux[callSubscribe] = s.subscribe
}

// AppliedVersions returns the version of the configuration in force on each node that reports to this server.
func (s *Server) AppliedVersions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := make(map[string]uint64, len(s.applied))
	for name, version := range s.applied {
		applied[name] = version
	}
	return applied
}

// Run marks nodes that stopped reporting as gone, until ctx ends. Only control processes run it: a node that publishes
// to its peers does not decide which nodes are gone.
func (s *Server) Run(ctx context.Context) error {
	ticker.Every(ctx, HeartbeatPeriod, s.expireNodes)
	return nil
}

func (s *Server) expireNodes(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, moved := s.presence.Expire(now, s.hub.Directory())
	for _, name := range moved {
		delete(s.applied, name)
		s.log.Info("node moved", "node", name, "reason", "it reports to another process")
	}
	for _, node := range lost {
		delete(s.applied, node.Name)
		if len(s.hub.Merge(node)) > 0 {
			s.log.Info("node lost", "node", node.Name, "reason", "no report before the deadline")
		}
	}
}

func (s *Server) subscribe(stream drpc.Stream) error {
	var first reportMessage
	if err := stream.MsgRecv(&first, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive first report")
	}
	s.handleReport(first)
	subscription := s.hub.subscribe(s.region != "" && first.Region != "" && first.Region != s.region, first.Digests)
	defer s.hub.unsubscribe(subscription)
	s.hub.recordDigest(subscription, first.Digest)
	group, ctx := errgroup.WithContext(stream.Context())
	group.Go(func() error { return s.publish(ctx, stream, subscription, first.Version) })
	group.Go(func() error {
		for {
			var report reportMessage
			if err := stream.MsgRecv(&report, messenger.Encoding{}); err != nil {
				return errors.Wrap(err, "receive report")
			}
			s.handleReport(report)
			s.hub.recordDigest(subscription, report.Digest)
		}
	})
	return group.Wait()
}

func (s *Server) publish(ctx context.Context, stream drpc.Stream, subscription *subscription, version uint64) error {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	for {
		messages, next, err := s.hub.messagesSince(subscription, version)
		if err != nil {
			return err
		}
		version = next
		messages = append(messages, &updateMessage{Version: version, ContactAgeMillis: s.contactAge().Milliseconds()})
		for _, message := range messages {
			if err := stream.MsgSend(message, messenger.Encoding{}); err != nil {
				return errors.Wrap(err, "send update")
			}
		}
		if !sleep(ctx, publishInterval) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-subscription.wake:
		}
	}
}

// sleep waits for delay. It returns false if ctx ended first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) handleReport(report reportMessage) {
	if report.Node == nil {
		return
	}
	node := *report.Node
	s.mu.Lock()
	s.applied[node.Name] = report.Version
	s.presence.Record(node, time.Now().Add(NodeLifetime))
	s.mu.Unlock()
	s.merge(node)
}

func (s *Server) merge(node tracker.Node) {
	if len(s.hub.Merge(node)) > 0 {
		s.log.Info("node reported", "node", node.Name, "incarnation", node.Incarnation, "sequence", node.Sequence,
			"targets", len(node.Targets), "leaving", node.Leaving)
	}
}
