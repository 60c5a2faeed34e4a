package messenger

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	maxMessageBytes = 4 << 20
	acceptBackoff   = 50 * time.Millisecond
	// refusalInterval is the least time between two log lines about refused connections.
	refusalInterval = 100 * time.Millisecond
)

// Mux maps the names of calls to their handlers.
type Mux map[string]func(stream drpc.Stream) error

var _ drpc.Handler = Mux(nil)

// HandleRPC implements drpc.Handler.
func (m Mux) HandleRPC(stream drpc.Stream, rpc string) error {
	handle, ok := m[rpc]
	if !ok {
		return errors.Newf("no call is named %q", rpc)
	}
	return handle(stream)
}

// Server serves drpc calls of other processes of the fleet.
type Server struct {
	credentials Credentials
	handler     drpc.Handler
	log         *slog.Logger
	handshakes  handshakes

	// refusals guards what follows.
	refusals    sync.Mutex
	nextRefusal time.Time
	unlogged    int
}

// NewServer returns a server that admits clients with the same credentials and passes their calls to handler.
func NewServer(credentials Credentials, handler drpc.Handler, log *slog.Logger) *Server {
	return &Server{credentials: credentials, handler: handler, log: log}
}

// WithMaxHandshakes returns s with a bound on the connections whose handshake is in progress; 0 sets none. Of more, the oldest is
// closed: a member of the fleet takes a few round trips, while other clients keep a connection for the whole HandshakeTimeout.
func (s *Server) WithMaxHandshakes(number int) *Server {
	s.handshakes.limit = number
	return s
}

// Serve accepts connections until ctx ends. Then it closes listener and waits for the calls in progress.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(s.handler, drpcserver.Options{Manager: managerOptions()})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				s.log.Warn("accept failed", "error", err)
				time.Sleep(acceptBackoff)
				continue
			}
			group.Go(func() error {
				s.serveConn(ctx, server, conn)
				return nil
			})
		}
	})
	err := group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve fleet connections")
}

func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	s.handshakes.begin(time.Now(), conn)
	err := s.credentials.serverHandshake(conn)
	s.handshakes.end(conn)
	if err != nil {
		s.logRefusal(conn, err)
		_ = conn.Close()
		return
	}
	if err := server.ServeOne(ctx, conn); err != nil {
		s.log.Debug("connection ended", "remote", conn.RemoteAddr(), "reason", err)
	}
}

// logRefusal logs that a connection was refused. Of a crowd it logs one in each refusalInterval, with the number of the others.
func (s *Server) logRefusal(conn net.Conn, reason error) {
	s.refusals.Lock()
	defer s.refusals.Unlock()
	now := time.Now()
	if now.Before(s.nextRefusal) {
		s.unlogged++
		return
	}
	s.nextRefusal = now.Add(refusalInterval)
	s.log.Warn("connection refused", "remote", conn.RemoteAddr(), "reason", reason, "unlogged", s.unlogged)
	s.unlogged = 0
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
