package carrier

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
)

const (
	// connectTrips is the number of round trips of a new connection with its greeting.
	connectTrips = 3
	// connectLimit is enough for them between regions.
	connectLimit = 300 * time.Millisecond
)

// connectLimit returns how long a new connection may take.
func (w Way) connectLimit() time.Duration {
	if w.Patience == 0 {
		return silenceLimit
	}
	return max(w.Patience, min(connectTrips*w.Patience, connectLimit))
}

// Client sends requests to the gates of other nodes.
type Client struct {
	pool   *messenger.Pool
	counts *expvar.Map
	clocks *clocks
	log    *slog.Logger
}

// NewClient returns a client that uses the connections of pool, counts in counts, and logs what it learns of requests
// whose gates are silent.
func NewClient(pool *messenger.Pool, counts *expvar.Map, log *slog.Logger) *Client {
	return &Client{pool: pool, counts: counts, clocks: newClocks(), log: log}
}

// Carry sends a request to the gate at the end of way and returns the target's answer once its head is there. It reads
// body only as fast as the gate takes it. The error is a refusal: NotRun when no connection could be had, when the gate
// says so or promises a tombstone, else Unknown.
func (c *Client) Carry(ctx context.Context, way Way, head Head, body io.Reader) (Answer, error) {
	answer, running, err := c.try(ctx, way, &head, body)
	if err == nil || running || head.StartBefore == 0 || head.Repeatable || !doubtful(ctx, err) {
		return answer, err
	}
	return Answer{}, c.settle(ctx, way, head, err)
}

// try makes one exchange. Running is true if the gate said that the request went to a target.
func (c *Client) try(ctx context.Context, way Way, head *Head, body io.Reader) (Answer, bool, error) {
	address := way.Address
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	// Until the stream is open nothing can have run, so a way that takes long is given up early.
	connecting := time.AfterFunc(way.connectLimit(), cancel)
	reading, err := c.reading(ctx, address, head.Incarnation)
	if err != nil {
		cancel()
		return Answer{}, false, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	stream, err := c.pool.Get(ctx, address).NewStream(ctx, callCarry, frameEncoding{})
	if !connecting.Stop() && err == nil {
		_ = stream.Close()
		err = errors.New("connecting took too long")
	}
	if err != nil {
		cancel()
		return Answer{}, false, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	head.StartBefore = startBefore(reading, time.Now(), head.Deadline)
	exchange := newExchange(stream, cancel, way, c.burier(ctx, way, *head))
	answer, err := exchange.run(*head, body)
	if exchange.reading > 0 {
		c.clocks.set(address, Clock{head.Incarnation, exchange.reading}, time.Now())
	}
	if errors.Is(err, errCrossed) {
		c.counts.Add("crossed_answers", 1)
	}
	if err != nil {
		err = exchange.explain(ctx, err)
		_ = exchange.Close()
		return Answer{}, exchange.running, err
	}
	return answer, true, nil
}
