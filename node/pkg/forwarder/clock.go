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
	// tombstoneMargin is how long after a request's deadline its identity may still be buried.
	tombstoneMargin tombstoner.GateTime = 3_000
	// maxStartWindow bounds how far ahead an entry names the latest start. It is shorter than the gate's horizon, since
	// the entry's idea of the gate's clock may be ahead of it.
	maxStartWindow = tombstoner.Horizon * 2 / 3
	// maxClocks bounds the gates whose clocks are remembered.
	maxClocks = 4096
)

type clockMessage struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Time        int64  `cbor:"2,keyasint"`
}

// clockCache remembers what the clocks of gates showed when they were last heard.
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

// get returns what the clock of the incarnation at address should show at now. Only the refusal of a request depends
// on how right that is.
func (c *clockCache) get(address string, incarnation uint64, now time.Time) (tombstoner.GateTime, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, ok := c.entries[address]
	if !ok || seen.clock.Incarnation != incarnation {
		return 0, false
	}
	return seen.clock.Time + tombstoner.GateTime(now.Sub(seen.readAt).Milliseconds()), true
}

// gateTime returns what the gate's clock shows now, and asks the gate if it is not known. It fails if the gate at
// address has another incarnation.
func (c *Client) gateTime(ctx context.Context, address string, incarnation uint64) (tombstoner.GateTime, error) {
	if reading, ok := c.clocks.get(address, incarnation, time.Now()); ok {
		return reading, nil
	}
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	var reply clockMessage
	err := c.pool.Get(ctx, address).Invoke(ctx, callClock, messenger.Encoding{}, &clockMessage{}, &reply)
	if err != nil {
		return 0, errors.Wrap(err, "read the gate's clock")
	}
	if reply.Incarnation != incarnation {
		return 0, errors.New("the node was restarted")
	}
	clock := Clock{reply.Incarnation, tombstoner.GateTime(reply.Time)}
	c.clocks.set(address, clock, time.Now())
	return clock.Time, nil
}

func startBefore(reading tombstoner.GateTime, now, deadline time.Time) tombstoner.GateTime {
	remaining := tombstoner.GateTime(deadline.Sub(now).Milliseconds())
	return reading + min(remaining+tombstoneMargin, maxStartWindow)
}

func (s *Server) clock(stream drpc.Stream) error {
	var request clockMessage
	if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive question for the clock")
	}
	clock := s.gate.Clock()
	reply := clockMessage{clock.Incarnation, int64(clock.Time)}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send clock")
}
