package forwarder

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
	// connectRoundTrips is the number of round trips of a new connection with its greeting.
	connectRoundTrips = 3
	// maxConnectTimeout is enough for them between regions.
	maxConnectTimeout = 300 * time.Millisecond
)

// connectTimeout returns how long a new connection may take.
func (w Destination) connectTimeout() time.Duration {
	if w.ResponseTimeout == 0 {
		return idleTimeout
	}
	return max(w.ResponseTimeout, min(connectRoundTrips*w.ResponseTimeout, maxConnectTimeout))
}

// Client sends requests to the gates of other nodes.
type Client struct {
	pool   *messenger.Pool
	counts *expvar.Map
	clocks *clockCache
	log    *slog.Logger
}

// NewClient returns a client that uses the connections of pool, counts in counts, and logs what it learns of requests
// whose gates are silent.
func NewClient(pool *messenger.Pool, counts *expvar.Map, log *slog.Logger) *Client {
	return &Client{pool: pool, counts: counts, clocks: newClockCache(), log: log}
}

// Forward sends a request to the gate at the end of way and returns the target's answer once its head is there. It reads
// body only as fast as the gate takes it. The error is a refusal: NotRun when no connection could be had, when the gate
// says so or promises a tombstone, else Unknown.
func (c *Client) Forward(ctx context.Context, way Destination, head Head, body io.Reader) (Answer, error) {
	answer, running, err := c.attempt(ctx, way, &head, body)
	if err == nil || running || head.StartBefore == 0 || head.Repeatable || !outcomeUnknown(ctx, err) {
		return answer, err
	}
	return Answer{}, c.resolveOutcome(ctx, way, head, err)
}

// attempt makes one exchange. Running is true if the gate said that the request went to a target.
func (c *Client) attempt(ctx context.Context, way Destination, head *Head, body io.Reader) (Answer, bool, error) {
	address := way.Address
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	// Until the stream is open nothing can have run, so a way that takes long is given up early.
	connecting := time.AfterFunc(way.connectTimeout(), cancel)
	reading, err := c.gateTime(ctx, address, head.Incarnation)
	if err != nil {
		cancel()
		return Answer{}, false, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	stream, err := c.pool.Get(ctx, address).NewStream(ctx, callForward, frameEncoding{})
	if !connecting.Stop() && err == nil {
		_ = stream.Close()
		err = errors.New("connecting took too long")
	}
	if err != nil {
		cancel()
		return Answer{}, false, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	head.StartBefore = startBefore(reading, time.Now(), head.Deadline)
	exchange := newExchange(stream, cancel, way, c.tombstoneFunc(ctx, way, *head))
	answer, err := exchange.run(*head, body)
	if exchange.gateTime > 0 {
		c.clocks.set(address, Clock{head.Incarnation, exchange.gateTime}, time.Now())
	}
	if errors.Is(err, errAnswerMismatch) {
		c.counts.Add("crossed_answers", 1)
	}
	if err != nil {
		err = exchange.toRefusal(ctx, err)
		_ = exchange.Close()
		return Answer{}, exchange.running, err
	}
	return answer, true, nil
}
