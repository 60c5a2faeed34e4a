package carrier

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
	// settleMargin is how long after a request's deadline its identity may still be buried.
	settleMargin tombstoner.GateTime = 3_000
	// startWindow bounds how far ahead an entry names the latest start. It is shorter than the gate's horizon, since
	// the entry's idea of the gate's clock may be ahead of it.
	startWindow = tombstoner.Horizon * 2 / 3
	// maxClocks bounds the gates whose clocks are remembered.
	maxClocks = 4096
)

type clockBody struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Reading     int64  `cbor:"2,keyasint"`
}

// clocks remembers what the clocks of gates showed when they were last heard.
type clocks struct {
	mu    sync.Mutex
	known map[string]sighting
}

type sighting struct {
	clock Clock
	at    time.Time
}

func newClocks() *clocks {
	return &clocks{known: make(map[string]sighting)}
}

func (c *clocks) set(address string, clock Clock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) >= maxClocks {
		clear(c.known)
	}
	c.known[address] = sighting{clock, now}
}

// get returns what the clock of the incarnation at address should show at now. Only the refusal of a request depends
// on how right that is.
func (c *clocks) get(address string, incarnation uint64, now time.Time) (tombstoner.GateTime, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, ok := c.known[address]
	if !ok || seen.clock.Incarnation != incarnation {
		return 0, false
	}
	return seen.clock.Reading + tombstoner.GateTime(now.Sub(seen.at).Milliseconds()), true
}

// reading returns what the gate's clock shows now, and asks the gate if it is not known. It fails if the gate at
// address has another incarnation.
func (c *Client) reading(ctx context.Context, address string, incarnation uint64) (tombstoner.GateTime, error) {
	if reading, ok := c.clocks.get(address, incarnation, time.Now()); ok {
		return reading, nil
	}
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	var reply clockBody
	err := c.pool.Get(ctx, address).Invoke(ctx, callClock, messenger.Encoding{}, &clockBody{}, &reply)
	if err != nil {
		return 0, errors.Wrap(err, "read the gate's clock")
	}
	if reply.Incarnation != incarnation {
		return 0, errors.New("the node was restarted")
	}
	clock := Clock{reply.Incarnation, tombstoner.GateTime(reply.Reading)}
	c.clocks.set(address, clock, time.Now())
	return clock.Reading, nil
}

func startBefore(reading tombstoner.GateTime, now, deadline time.Time) tombstoner.GateTime {
	remaining := tombstoner.GateTime(deadline.Sub(now).Milliseconds())
	return reading + min(remaining+settleMargin, startWindow)
}

func (s *Server) clock(stream drpc.Stream) error {
	var request clockBody
	if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive question for the clock")
	}
	clock := s.gate.Clock()
	reply := clockBody{clock.Incarnation, int64(clock.Reading)}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send clock")
}
