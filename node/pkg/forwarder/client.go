package forwarder

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/gossiper"
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

// connectTimeout returns how long opening a connection usually takes at most: connectRoundTrips times ResponseTimeout, capped
// at maxConnectTimeout, but never less than ResponseTimeout. Without a ResponseTimeout it is idleTimeout.
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
	gossip *gossiper.Gossiper
	log    *slog.Logger
}

// NewClient returns a client that uses the connections of pool and increments counters in counts. It logs the
// tombstones that it requests after a gate stopped responding. It exchanges verdicts with gates, unless gossip is nil.
func NewClient(pool *messenger.Pool, counts *expvar.Map, gossip *gossiper.Gossiper, log *slog.Logger) *Client {
	return &Client{pool: pool, counts: counts, clocks: newClockCache(), gossip: gossip, log: log}
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
	stream, gateTime, err := c.connect(ctx, destination, head)
	if err != nil {
		kind := refuser.NodeUnreachable
		if ctx.Err() != nil {
			// The time was used up, or the caller left. That is no evidence against the node.
			kind = refuser.DeadlinePassed
		}
		cancel()
		return Answer{}, false, refuser.Refuse(kind, err.Error())
	}
	head.StartBefore = startBefore(gateTime, time.Now(), head.Deadline)
	sent := *head
	exchange := newExchange(stream, cancel, destination, sent, c.gossip, c.log, questions{
		look:           func() (tombstoner.State, bool) { return c.look(ctx, destination, sent) },
		placeTombstone: func() (tombstoner.State, bool) { return c.placeTombstone(ctx, destination, sent) },
	})
	if sent.Withheld {
		c.counts.Add("bodies_withheld", 1)
	}
	answer, err := exchange.run(body)
	if exchange.withheld != nil && exchange.withheld.sent.Load() {
		c.counts.Add("bodies_granted", 1)
	}
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

// connect opens a stream to the gate for the request of head, and returns the gate's time. The request can't run before
// that, so an entry that has another target may withdraw it when this takes long.
func (c *Client) connect(ctx context.Context, destination Destination, head *Head) (drpc.Stream, tombstoner.GateTime, error) {
	if destination.OnSilence != nil {
		defer time.AfterFunc(destination.connectTimeout(), func() {
			c.log.Info("connecting takes long", "request", head.AttemptID, "target", head.Target, "timer", destination.connectTimeout())
			destination.OnSilence(false)
		}).Stop()
	}
	gateTime, err := c.gateTime(ctx, destination.Address, head.Incarnation)
	if err != nil {
		return nil, 0, err
	}
	stream, err := c.pool.Get(ctx, destination.Address).NewStream(ctx, callForward, frameEncoding{})
	if err == nil && !head.Withheld && !destination.Launch.commit() {
		_ = stream.Close()
		err = errors.New("connecting took long, and another target was chosen")
	}
	return stream, gateTime, errors.Wrap(err, "open stream to gate")
}
