// Package connector sends requests to targets over pooled connections, each request once. Unlike net/http's
// transport, it never retries a request, and its errors tell whether the request may have reached the target.
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
	"samphiremount.example/core/validator"
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

// Connector sends requests to targets and pools the idle connections.
type Connector struct {
	dialer net.Dialer
	counts *expvar.Map

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a Connector without connections. It counts discarded connections and answers in counts.
func New(counts *expvar.Map) *Connector {
	return &Connector{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval},
		counts: counts,
		idle:   make(map[string][]*conn),
	}
}

// Reuse states which pooled connections an exchange may use.
type Reuse int

const (
	// ReuseNone makes the exchange open a new connection, on which no answer to an earlier request can arrive.
	ReuseNone Reuse = iota
	// ReuseRecent allows a connection that was idle for maxReuseIdle at most.
	ReuseRecent
	// ReuseAny allows any idle connection. It is for repeatable requests.
	ReuseAny
)

// connect returns an idle connection that reuse allows, or else a new one.
func (c *Connector) connect(ctx context.Context, address string, reuse Reuse) (*conn, error) {
	maxIdle := idleTimeout
	if reuse == ReuseRecent {
		maxIdle = maxReuseIdle
	}
	usedAfter := time.Now().Add(-maxIdle)
	for reuse != ReuseNone {
		pooled := c.take(address)
		if pooled == nil {
			break
		}
		if pooled.idleSince.After(usedAfter) && pooled.usable() {
			pooled.reused = true
			return pooled, nil
		}
		c.counts.Add("stale_connections", 1)
		_ = pooled.Close()
	}
	inner, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	return newConn(address, inner), nil
}

// countMalformed counts an answer whose reading failed with err, if it is malformed.
func (c *Connector) countMalformed(err error) {
	if errors.Is(err, validator.ErrMalformed) {
		c.counts.Add("malformed_answers", 1)
	}
}

// Alive reports whether a target listens at address. Only a refused connection counts as no; a timeout does not.
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

// take removes and returns the most recently used idle connection to address, or nil if there is none.
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

// Run closes connections that have been idle for idleTimeout, until ctx ends. Then it closes all idle connections.
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
		for _, pooled := range idle {
			if pooled.idleSince.Before(before) {
				_ = pooled.Close()
				continue
			}
			kept = append(kept, pooled)
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
