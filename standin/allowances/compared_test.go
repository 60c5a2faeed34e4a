package allowances_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
)

var errRefused = errors.New("refused")

// bucket is a plain token bucket: the oracle, a node's part in static division, and the central counter.
type bucket struct {
	rate, burst, level float64
	updated            time.Time
}

func newBucket(now time.Time, rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, updated: now}
}

// spend takes one token and returns what is left, which is below 0 if there was none.
func (b *bucket) spend(now time.Time) float64 {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.updated).Seconds()) - 1
	b.updated = now
	return b.level
}

func (b *bucket) allow(now time.Time) bool {
	if b.spend(now) < 0 {
		b.level++
		return false
	}
	return true
}

// staticDivision gives each node a fixed part of rate and burst, in whole tokens.
type staticDivision struct {
	configuration configurer.Configuration
	node          int

	mu      sync.Mutex
	buckets map[string]*bucket
}

// Acquire implements drawing.
func (d *staticDivision) Acquire(_ context.Context, workspace string, _ time.Time) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if _, ok := d.buckets[workspace]; !ok {
		whole, _ := d.configuration.Workspace(workspace)
		burst := (whole.Burst - d.node + nodes - 1) / nodes
		owners := min(nodes, whole.Burst)
		rate := 0.0
		if burst > 0 {
			rate = float64(whole.Rate) / float64(owners)
		}
		d.buckets[workspace] = newBucket(now, rate, float64(burst))
	}
	if !d.buckets[workspace].allow(now) {
		return "", errRefused
	}
	return "", nil
}

// centralCounter is one process of the first data centre that decides on every request of the fleet.
type centralCounter struct {
	configuration configurer.Configuration

	mu          sync.Mutex
	buckets     map[string]*bucket
	down        bool
	restartedAt time.Time
}

// counterClient is the central counter as a node sees it.
type counterClient struct {
	endpoint

	counter *centralCounter
}

const counterTimeout = 300 * time.Millisecond

// Acquire implements drawing.
func (c counterClient) Acquire(ctx context.Context, workspace string, _ time.Time) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, counterTimeout)
	defer cancel()
	c.messages.Add(1)
	if err := c.transmit(ctx, c.centre, 0); err != nil {
		return "", err
	}
	admitted := c.counter.decide(workspace)
	if err := c.transmit(ctx, 0, c.centre); err != nil {
		return "", err
	}
	if !admitted {
		return "", errRefused
	}
	return "", nil
}

func (c *centralCounter) decide(workspace string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return false
	}
	now := time.Now()
	if _, ok := c.buckets[workspace]; !ok {
		whole, _ := c.configuration.Workspace(workspace)
		c.buckets[workspace] = newBucket(now, float64(whole.Rate), float64(whole.Burst))
		if c.restartedAt.After(time.Time{}) {
			c.buckets[workspace].level = min(float64(whole.Burst), float64(whole.Rate)*now.Sub(c.restartedAt).Seconds())
		}
	}
	return c.buckets[workspace].allow(now)
}

// restart forgets all buckets, so that each begins empty.
func (c *centralCounter) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.restartedAt = false, time.Now()
	clear(c.buckets)
}

func (c *centralCounter) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = true
}
