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

func (b *bucket) try(now time.Time) bool {
	if b.spend(now) < 0 {
		b.level++
		return false
	}
	return true
}

// division gives each node a fixed part of rate and burst, in whole tokens.
type division struct {
	configuration configurer.Configuration
	node          int

	mu      sync.Mutex
	buckets map[string]*bucket
}

// Acquire implements drawing.
func (d *division) Acquire(_ context.Context, workspace string, _ time.Time) (string, error) {
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
	if !d.buckets[workspace].try(now) {
		return "", errRefused
	}
	return "", nil
}

// counter is one process of the first data centre that decides on every request of the fleet.
type counter struct {
	configuration configurer.Configuration

	mu      sync.Mutex
	buckets map[string]*bucket
	away    bool
	started time.Time
}

// counted is the central counter as a node sees it.
type counted struct {
	place

	counter *counter
}

const counterLimit = 300 * time.Millisecond

// Acquire implements drawing.
func (c counted) Acquire(ctx context.Context, workspace string, _ time.Time) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, counterLimit)
	defer cancel()
	c.messages.Add(1)
	if err := c.travel(ctx, c.centre, 0); err != nil {
		return "", err
	}
	admitted := c.counter.decide(workspace)
	if err := c.travel(ctx, 0, c.centre); err != nil {
		return "", err
	}
	if !admitted {
		return "", errRefused
	}
	return "", nil
}

func (c *counter) decide(workspace string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		return false
	}
	now := time.Now()
	if _, ok := c.buckets[workspace]; !ok {
		whole, _ := c.configuration.Workspace(workspace)
		c.buckets[workspace] = newBucket(now, float64(whole.Rate), float64(whole.Burst))
		if c.started.After(time.Time{}) {
			c.buckets[workspace].level = min(float64(whole.Burst), float64(whole.Rate)*now.Sub(c.started).Seconds())
		}
	}
	return c.buckets[workspace].try(now)
}

// restart forgets all buckets, so that each begins empty.
func (c *counter) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away, c.started = false, time.Now()
	clear(c.buckets)
}

func (c *counter) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = true
}
