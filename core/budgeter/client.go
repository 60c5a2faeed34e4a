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
	reportInterval = 2 * time.Second
)

// Client reports the requests of one node to the shared budget and acquires extra attempts from it.
type Client struct {
	pool  *messenger.Pool
	owner func(service string) (address string, ok bool)
	log   *slog.Logger

	mu    sync.Mutex
	tally *Tally
}

// NewClient returns a client. The function owner returns the address of the control process that holds the bucket of a
// service; it must return the same one on all nodes.
func NewClient(pool *messenger.Pool, owner func(service string) (string, bool), log *slog.Logger) *Client {
	return &Client{pool: pool, owner: owner, log: log, tally: NewTally()}
}

// CountRequest counts a request of service for the next report.
func (c *Client) CountRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.CountRequest(service)
}

// Charge counts an attempt of service that was sent without a grant. probability is the probability that
// it was an extra one.
func (c *Client) Charge(service string, probability float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Charge(service, probability)
}

// Acquire reports whether the shared budget allows an extra attempt for a request of service. It returns false if there
// is no answer in time.
func (c *Client) Acquire(ctx context.Context, service string) bool {
	granted, err := c.send(ctx, service, true)
	if err != nil {
		c.log.Info("extra attempt not granted", "service", service, "reason", err.Error())
	}
	return granted
}

// send reports what was counted of service since its last message and, if acquire is set, asks for an extra attempt.
func (c *Client) send(ctx context.Context, service string, acquire bool) (bool, error) {
	address, ok := c.owner(service)
	if !ok {
		return false, errors.New("no control process is known for the service")
	}
	c.mu.Lock()
	report := c.tally.Take(service)
	c.mu.Unlock()
	message := acquireMessage{Service: service, Requests: report.Requests, Charged: report.Charged, Acquire: acquire}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var reply acquireReply
	err := c.pool.Get(ctx, address).Invoke(ctx, callAcquire, messenger.Encoding{}, &message, &reply)
	return reply.Granted, errors.Wrap(err, "call the shared retry budget")
}

// Run reports counted requests until ctx ends. A report that does not arrive is lost, which makes the budget smaller.
func (c *Client) Run(ctx context.Context) error {
	ticker.Every(ctx, reportInterval, func(time.Time) {
		for _, service := range c.unreported() {
			if _, err := c.send(ctx, service, false); err != nil {
				c.log.Debug("requests not reported", "service", service, "reason", err.Error())
			}
		}
	})
	return nil
}

// unreported returns the services with requests that were not reported yet.
func (c *Client) unreported() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Services()
}
