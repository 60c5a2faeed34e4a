package budgeter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/ticker"
)

const (
	// acquireTimeout bounds how long a request waits for the answer. A new connection to a remote region takes four
	// round trips.
	acquireTimeout = 400 * time.Millisecond
	// reportInterval is the time between reports of requests that no other message has reported.
	reportInterval = time.Second
)

// Client reports the requests of one node to the shared budget and acquires extra attempts from it.
type Client struct {
	pool   *messenger.Pool
	holder func() (address string, ok bool)
	log    *slog.Logger

	mu    sync.Mutex
	tally *Tally
}

// NewClient returns a client. The function holder returns the address of the control process that holds the budget; it
// must return the same one on all nodes.
func NewClient(pool *messenger.Pool, holder func() (string, bool), log *slog.Logger) *Client {
	return &Client{pool: pool, holder: holder, log: log, tally: NewTally()}
}

// CountRequest counts request for the next report.
func (c *Client) CountRequest(request Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.CountRequest(request)
}

// Acquire reports whether the shared budget allows extra. It returns false if there is no answer in time.
func (c *Client) Acquire(ctx context.Context, extra Extra) bool {
	granted, err := c.send(ctx, extra)
	if err != nil {
		c.log.Info("extra attempt not granted", "service", extra.Service, "reason", err.Error())
	}
	return granted
}

// send reports what was counted since the last message and asks for extra, or for nothing if that names no service.
// A report that does not arrive is lost.
func (c *Client) send(ctx context.Context, extra Extra) (bool, error) {
	address, ok := c.holder()
	if !ok {
		return false, errors.New("no control process is known")
	}
	c.mu.Lock()
	message := newMessage(c.tally.Take(), extra)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var reply acquireReply
	err := c.pool.Get(ctx, address).Invoke(ctx, callAcquire, messenger.Encoding{}, &message, &reply)
	return reply.Granted, errors.Wrap(err, "call the shared retry budget")
}

// Run reports what was counted until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker.Every(ctx, reportInterval, func(time.Time) {
		if c.isReported() {
			return
		}
		if _, err := c.send(ctx, Extra{}); err != nil {
			c.log.Debug("requests not reported", "reason", err.Error())
		}
	})
	return nil
}

func (c *Client) isReported() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Empty()
}
