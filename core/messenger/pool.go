package messenger

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	idleExpiration     = 30 * time.Second
	maxIdlePerAddress  = 64
	maxIdleConnections = 1024
	keepAliveInterval  = 5 * time.Second
	dialTimeout        = time.Second
)

// Pool keeps idle connections to other processes of the fleet. Each connection carries one call at a time.
type Pool struct {
	credentials Credentials
	pool        *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns an empty pool that authenticates its connections with credentials.
func NewPool(credentials Credentials) *Pool {
	return &Pool{
		credentials: credentials,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: idleExpiration, Capacity: maxIdleConnections, KeyCapacity: maxIdlePerAddress,
		}),
	}
}

// Get returns a connection to address. Each call on it takes an idle connection, or dials a new one.
func (p *Pool) Get(ctx context.Context, address string) drpcpool.Conn {
	return p.pool.Get(ctx, address, p.Dial)
}

// Dial opens a new connection to address and performs the handshake. It returns ErrUnauthenticated if the peer does
// not belong to the fleet.
func (p *Pool) Dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = p.credentials.clientHandshake(conn)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "greet")
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	return errors.Wrap(p.pool.Close(), "close pool")
}
