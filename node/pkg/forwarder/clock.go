package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/tombstoner"
)

const (
	// tombstoneMargin is how long after a request's deadline a tombstone for it can still be placed, in milliseconds.
	tombstoneMargin tombstoner.GateTime = 3_000
	// maxStartWindow bounds how far ahead of the gate's clock an entry sets the latest start. It is shorter than the
	// gate's horizon, because the entry's estimate may be ahead of the gate's clock.
	maxStartWindow = tombstoner.Horizon * 2 / 3
	// maxClocks bounds the number of gates whose clocks are cached.
	maxClocks = 4096
)

type clockMessage struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Time        int64  `cbor:"2,keyasint"`
}

// clockCache holds the last clock value received from each gate.
type clockCache struct {
	mu      sync.Mutex
	entries map[string]cachedClock
}

type cachedClock struct {
	clock  Clock
	readAt time.Time
}

func newClockCache() *clockCache {
	return &clockCache{entries: make(map[string]cachedClock)}
}

func (c *clockCache) set(address string, clock Clock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) >= maxClocks {
		clear(c.entries)
	}
	c.entries[address] = cachedClock{clock, now}
}

// get estimates the clock of the gate at address at the time now. It returns false if no value of that incarnation is
// cached. A wrong estimate can only lead to the refusal of a request.
func (c *clockCache) get(address string, incarnation uint64, now time.Time) (tombstoner.GateTime, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.entries[address]
	if !ok || cached.clock.Incarnation != incarnation {
		return 0, false
	}
	return cached.clock.Time + tombstoner.GateTime(now.Sub(cached.readAt).Milliseconds()), true
}

// gateTime returns an estimate of the gate's clock, and asks the gate if none is cached. It returns an error if the
// gate at address has another incarnation.
func (c *Client) gateTime(ctx context.Context, address string, incarnation uint64) (tombstoner.GateTime, error) {
	if gateTime, ok := c.clocks.get(address, incarnation, time.Now()); ok {
		return gateTime, nil
	}
	reply, err := c.readClock(ctx, address)
	if err != nil {
		return 0, err
	}
	if reply.Incarnation != incarnation {
		return 0, errors.New("the node was restarted")
	}
	clock := Clock{reply.Incarnation, tombstoner.GateTime(reply.Time)}
	c.clocks.set(address, clock, time.Now())
	return clock.Time, nil
}

// readClock asks the gate for its clock, over a new connection if a pooled one gets no reply within idleTimeout.
func (c *Client) readClock(ctx context.Context, address string) (clockMessage, error) {
	var reply clockMessage
	pooledCtx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	err := c.pool.Get(pooledCtx, address).Invoke(pooledCtx, callClock, messenger.Encoding{}, &clockMessage{}, &reply)
	if err == nil || pooledCtx.Err() == nil || ctx.Err() != nil {
		return reply, errors.Wrap(err, "read clock of gate")
	}
	conn, err := c.pool.Dial(ctx, address)
	if err != nil {
		return reply, errors.Wrap(err, "connect to read clock of gate")
	}
	defer func() { _ = conn.Close() }()
	err = conn.Invoke(ctx, callClock, messenger.Encoding{}, &clockMessage{}, &reply)
	return reply, errors.Wrap(err, "read clock of gate")
}

// startBefore returns the latest gate time at which a request with that deadline may start.
func startBefore(gateTime tombstoner.GateTime, now, deadline time.Time) tombstoner.GateTime {
	remaining := tombstoner.GateTime(deadline.Sub(now).Milliseconds())
	return gateTime + min(remaining+tombstoneMargin, maxStartWindow)
}

func (s *Server) clock(stream drpc.Stream) error {
	var request clockMessage
	if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive clock request")
	}
	clock := s.gate.Clock()
	reply := clockMessage{clock.Incarnation, int64(clock.Time)}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send clock")
}
