// Package connector sends requests to targets over pooled connections, each request once. Unlike net/http's transport
// it never sends a request again by itself, and it tells whether a failed request can have reached the target.
package connector

import (
	"context"
	"expvar"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/ticker"
)

const (
	dialTimeout       = time.Second
	aliveTimeout      = 200 * time.Millisecond
	keepAliveInterval = 5 * time.Second
	idleTimeout       = 20 * time.Second
	maxIdlePerTarget  = 64
)

// Failure is the error of an exchange. Sent is false only if no byte of the request can have left for the target.
type Failure struct {
	Sent  bool
	Cause error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Connector holds the idle connections to targets.
type Connector struct {
	dialer net.Dialer
	counts *expvar.Map

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a Connector without connections. It counts in dropped what it discards.
func New(dropped *expvar.Map) *Connector {
	return &Connector{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval},
		counts: dropped,
		idle:   make(map[string][]*conn),
	}
}

// connect returns a connection that has been idle until after the deadline named by since at the earliest, or a new
// one.
func (c *Connector) connect(ctx context.Context, address string, since time.Time) (*conn, error) {
	for {
		found := c.take(address)
		if found == nil {
			break
		}
		if found.idleSince.After(since) && found.usable() {
			return found, nil
		}
		c.counts.Add("stale_connections", 1)
		_ = found.Close()
	}
	inner, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	return newConn(address, inner), nil
}

// Alive reports whether the target at address takes a connection now.
func (c *Connector) Alive(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}

// take returns the connection that was used last, or nil.
func (c *Connector) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	c.idle[address] = idle[:len(idle)-1]
	return last
}

func (c *Connector) put(used *conn) {
	used.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[used.address]) >= maxIdlePerTarget {
		_ = used.Close()
		return
	}
	c.idle[used.address] = append(c.idle[used.address], used)
}

// Run closes connections that were idle for long until ctx ends.
func (c *Connector) Run(ctx context.Context) error {
	ticker.Every(ctx, idleTimeout/4, func(now time.Time) { c.sweep(now.Add(-idleTimeout)) })
	c.sweep(time.Now().Add(idleTimeout))
	return nil
}

func (c *Connector) sweep(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		var kept []*conn
		for _, found := range idle {
			if found.idleSince.Before(before) {
				_ = found.Close()
				continue
			}
			kept = append(kept, found)
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
