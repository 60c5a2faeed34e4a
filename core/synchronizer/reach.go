package synchronizer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcpool"
)

// connectionAttemptDelay is how long one publisher is waited for before the next one is tried beside it, as addresses of a host are in
// RFC 8305.
const connectionAttemptDelay = 100 * time.Millisecond

// dialResult is the outcome of one try to connect. Place is that of the address in the list.
type dialResult struct {
	conn  drpcpool.Conn
	index int
	err   error
}

// connect connects to the first of addresses that answers, in turn from the one at first on. It returns the connection and
// the place of its address, or the last error.
func (c *Client) connect(ctx context.Context, addresses []string, first int) (drpcpool.Conn, int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(len(addresses))*connectionAttemptDelay+dialTimeout)
	defer cancel()
	results := make(chan dialResult, len(addresses))
	var group errgroup.Group
	dial := func(place int) {
		group.Go(func() error {
			dialling, stop := context.WithTimeout(ctx, dialTimeout)
			defer stop()
			conn, err := c.pool.Dial(dialling, addresses[place])
			results <- dialResult{conn, place, err}
			return nil
		})
	}
	started, failed := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for failed < len(addresses) {
		select {
		case <-next.C:
			if started < len(addresses) {
				dial((first + started) % len(addresses))
				started++
				next.Reset(connectionAttemptDelay)
			}
		case r := <-results:
			if r.err == nil {
				cancel()
				closeRest(&group, results, started-failed-1)
				return r.conn, r.index, nil
			}
			failed++
			if failed == len(addresses) {
				return nil, 0, r.err
			}
			next.Reset(0)
		}
	}
	return nil, 0, errors.New("there is no publisher to try")
}

// closeRest closes the connections of the tries that are still under way.
func closeRest(group *errgroup.Group, results <-chan dialResult, count int) {
	group.Go(func() error {
		for range count {
			if r := <-results; r.err == nil {
				_ = r.conn.Close()
			}
		}
		return nil
	})
}
