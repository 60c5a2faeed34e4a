package synchronizer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcpool"
)

// connectionAttemptDelay is how long to wait for one publisher before connecting to the next in parallel. It is the
// Connection Attempt Delay of RFC 8305, for publishers instead of the addresses of one host.
const connectionAttemptDelay = 100 * time.Millisecond

// dialResult is the outcome of one connection attempt. index is the position of its address in the list.
type dialResult struct {
	conn  drpcpool.Conn
	index int
	err   error
}

// connect tries addresses in order, starting at index first and wrapping around, and returns the first connection that
// is established with the index of its address. It starts the next attempt when one fails or after
// connectionAttemptDelay. If all fail, it returns the last error.
func (c *Client) connect(ctx context.Context, addresses []string, first int) (drpcpool.Conn, int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(len(addresses))*connectionAttemptDelay+dialTimeout)
	defer cancel()
	results := make(chan dialResult, len(addresses))
	var group errgroup.Group
	dial := func(index int) {
		group.Go(func() error {
			dialling, stop := context.WithTimeout(ctx, dialTimeout)
			defer stop()
			conn, err := c.pool.Dial(dialling, addresses[index])
			results <- dialResult{conn, index, err}
			return nil
		})
	}
	started, failed := 0, 0
	delay := connectionAttemptDelay
	if c.parallel != nil && c.parallel() {
		delay = 0
	}
	next := time.NewTimer(0)
	defer next.Stop()
	for failed < len(addresses) {
		select {
		case <-next.C:
			if started < len(addresses) {
				dial((first + started) % len(addresses))
				started++
				next.Reset(delay)
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
	return nil, 0, errors.New("the list of publishers is empty")
}

// closeRest closes the connections of the attempts that are still in progress.
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
