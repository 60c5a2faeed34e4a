package budgeter

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/ticker"
)

const (
	// acquireTimeout bounds how long a request waits for the answer: a new connection to another region takes four ways there
	// and back. TellPeriod is how long requests that came in stay untold.
	acquireTimeout = 400 * time.Millisecond
	reportInterval = 2 * time.Second
)

// Client draws on behalf of one node.
type Client struct {
	pool  *messenger.Pool
	owner func(service string) (address string, ok bool)
	log   *slog.Logger

	mu       sync.Mutex
	requests map[string]int
	charged  map[string]float64
}

// NewClient returns a client. Owner returns the control process that keeps the ledger of a service, alike on all nodes.
func NewClient(pool *messenger.Pool, owner func(service string) (string, bool), log *slog.Logger) *Client {
	return &Client{pool: pool, owner: owner, log: log, requests: make(map[string]int), charged: make(map[string]float64)}
}

// CountRequest counts a request of service.
func (c *Client) CountRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[service]++
}

// Charge counts a send of service that no budget was asked for. Part is how likely it was a further one.
func (c *Client) Charge(service string, part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charged[service] += part
}

// Acquire reports whether a request of service may be sent once more. Without an answer it may not.
func (c *Client) Acquire(ctx context.Context, service string) bool {
	granted, err := c.send(ctx, service, true)
	if err != nil {
		c.log.Info("further send not granted", "service", service, "reason", err.Error())
	}
	return granted
}

func (c *Client) send(ctx context.Context, service string, draw bool) (bool, error) {
	address, ok := c.owner(service)
	if !ok {
		return false, errors.New("no control process is known")
	}
	c.mu.Lock()
	message := acquireMessage{Service: service, Requests: c.requests[service], Charged: c.charged[service], Acquire: draw}
	delete(c.requests, service)
	delete(c.charged, service)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var reply acquireReply
	err := c.pool.Get(ctx, address).Invoke(ctx, callAcquire, messenger.Encoding{}, &message, &reply)
	return reply.Granted, errors.Wrap(err, "draw from the shared budget")
}

// Run tells of requests until ctx ends. What does not arrive is lost, which makes the budget smaller.
func (c *Client) Run(ctx context.Context) error {
	ticker.Every(ctx, reportInterval, func(time.Time) {
		for _, service := range c.unreported() {
			if _, err := c.send(ctx, service, false); err != nil {
				c.log.Debug("requests not told", "service", service, "reason", err.Error())
			}
		}
	})
	return nil
}

func (c *Client) unreported() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.requests))
}
