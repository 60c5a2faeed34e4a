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
	"samphiremount.example/core/tombstoner"
)

const (
	// connectRoundTrips is the number of round trips of a new connection, handshake included.
	connectRoundTrips = 3
	// maxConnectTimeout bounds connectTimeout. It suffices for connectRoundTrips between regions.
	maxConnectTimeout = 300 * time.Millisecond
)

// connectTimeout returns how long opening a connection may take: connectRoundTrips times ResponseTimeout, capped at
// maxConnectTimeout, but never less than ResponseTimeout. Without a ResponseTimeout it is idleTimeout.
func (d Destination) connectTimeout() time.Duration {
	if d.ResponseTimeout == 0 {
		return idleTimeout
	}
	return max(d.ResponseTimeout, min(connectRoundTrips*d.ResponseTimeout, maxConnectTimeout))
}

// Client sends requests to the gates of other nodes.
type Client struct {
	pool   *messenger.Pool
	counts *expvar.Map
	clocks *clockCache
	log    *slog.Logger
}

// NewClient returns a client that uses the connections of pool and increments counters in counts. It logs the
// tombstones that it requests after a gate stopped responding.
func NewClient(pool *messenger.Pool, counts *expvar.Map, log *slog.Logger) *Client {
	return &Client{pool: pool, counts: counts, clocks: newClockCache(), log: log}
}

// Forward sends a request to the gate at destination and returns the target's answer as soon as its head has arrived.
// It reads body only as fast as the gate accepts it. Errors are refusals. The outcome is NotRun if no connection
// could be opened, if the gate refused the request without running it, or if the gate promised a tombstone for it.
// Otherwise it is Unknown.
func (c *Client) Forward(ctx context.Context, destination Destination, head Head, body io.Reader) (Answer, error) {
	answer, running, err := c.attempt(ctx, destination, &head, body)
	if err == nil || running || head.StartBefore == 0 || head.Repeatable || !outcomeUnknown(ctx, err) {
		return answer, err
	}
	return Answer{}, c.resolveOutcome(ctx, destination, head, err)
}

// attempt makes one exchange. The second result is true if the gate reported that the request went to a target.
func (c *Client) attempt(ctx context.Context, destination Destination, head *Head, body io.Reader) (Answer, bool, error) {
	address := destination.Address
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	// The request can't run before the stream is open, so a slow connect is aborted early.
	connectTimer := time.AfterFunc(destination.connectTimeout(), cancel)
	gateTime, err := c.gateTime(ctx, address, head.Incarnation)
	if err != nil {
		cancel()
		return Answer{}, false, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	stream, err := c.pool.Get(ctx, address).NewStream(ctx, callForward, frameEncoding{})
	if !connectTimer.Stop() && err == nil {
		_ = stream.Close()
		err = errors.New("connect timed out")
	}
	if err != nil {
		cancel()
		return Answer{}, false, refuser.Refuse(refuser.NodeUnreachable, err.Error())
	}
	head.StartBefore = startBefore(gateTime, time.Now(), head.Deadline)
	sent := *head
	exchange := newExchange(stream, cancel, destination, sent, c.log, func() (tombstoner.State, bool) {
		return c.placeTombstone(ctx, destination, sent)
	})
	answer, err := exchange.run(body)
	if exchange.gateTime > 0 {
		c.clocks.set(address, Clock{head.Incarnation, exchange.gateTime}, time.Now())
	}
	if errors.Is(err, errAnswerMismatch) {
		c.counts.Add("crossed_answers", 1)
	}
	if err != nil {
		err = exchange.toRefusal(ctx, err)
		_ = exchange.Close()
		return Answer{}, exchange.running.Load(), err
	}
	return answer, true, nil
}
