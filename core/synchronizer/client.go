package synchronizer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/tracker"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// dialTimeout bounds one connection attempt. A publisher that is up answers within a few round trips between
	// regions.
	dialTimeout = 800 * time.Millisecond
	// fallbackPeriod is how long a client stays, on average, with a publisher that is not the first in its list.
	fallbackPeriod = 30 * time.Second
	// staleGracePeriod is the minimum time that a client stays with a publisher that is out of contact with control:
	// long enough for the publisher to register the client's node and to send what it has.
	staleGracePeriod = 700 * time.Millisecond
)

var (
	errStale = errors.New("the publisher is out of contact with control")
	// errFallbackExpired ends the subscription to a publisher that is not the first in the list. The first is tried
	// next.
	errFallbackExpired = errors.New("the time with a fallback publisher is over")
)

// Sink receives what a publisher sends and keeps whatever is newer than its own copy.
type Sink interface {
	Configuration() configurer.Configuration
	Install(configuration configurer.Configuration) bool
	Merge(records ...tracker.Node) []tracker.Node
	Withdraw(ids ...string) []string
	// SetControls sets the known control processes with their addresses.
	SetControls(controls []tracker.Control)
	// RecordContact records that the publisher was last in contact with control that long ago (see ContactAge).
	RecordContact(age time.Duration)
}

// Reporter supplies the record that a subscriber reports about itself. Changes delivers a value after each change of
// the record. Connected is called on each new connection, before the first report.
type Reporter interface {
	Node() *tracker.Node
	Changes() <-chan struct{}
	Connected()
}

// Addresses returns the publishers that a client may try now, best first. It returns at least one.
type Addresses func() []string

// Client subscribes to one of several publishers at a time.
type Client struct {
	pool      *messenger.Pool
	addresses Addresses
	sink      Sink
	reporter  Reporter
	log       *slog.Logger
	region    string
	directory DigestSource
	parallel  func() bool
}

// DigestSource returns the digests of the records that a subscriber has.
type DigestSource func() tracker.Digests

// NewClient returns a client that tries addresses in turn. reporter is nil for a process that is not a node.
func NewClient(pool *messenger.Pool, addresses Addresses, sink Sink, reporter Reporter, log *slog.Logger) *Client {
	return &Client{pool: pool, addresses: addresses, sink: sink, reporter: reporter, log: log}
}

// WithDigests returns a client that states the digests of its directory, so that it is sent only what it lacks. region is that
// of a control process, and empty for a node.
func (c *Client) WithDigests(region string, directory DigestSource) *Client {
	next := *c
	next.region, next.directory = region, directory
	return &next
}

// WithParallelAttempts returns a client that connects to all publishers at once while parallel returns true, and uses the one
// that answers first. It is for a node that does not know yet which publishers are in its region: each that it would try in
// turn sends it the whole directory.
func (c *Client) WithParallelAttempts(parallel func() bool) *Client {
	next := *c
	next.parallel = parallel
	return &next
}

// Run keeps a subscription until ctx ends. The backoff between attempts grows and is randomized, so that clients that
// lost the same publisher do not all reconnect at the same moment.
func (c *Client) Run(ctx context.Context) error {
	wait, first := minBackoff, 0
	var avoided avoidance
	for ctx.Err() == nil {
		all := c.addresses()
		addresses := avoided.filter(time.Now(), all)
		first %= len(addresses)
		started := time.Now()
		conn, index, err := c.connect(ctx, addresses, first)
		if err == nil {
			err = c.followBounded(ctx, conn, addresses[index], addresses[index] != all[0])
		}
		if ctx.Err() != nil {
			return nil
		}
		c.log.Warn("subscription lost", "address", addresses[index], "reason", err.Error())
		if time.Since(started) > HeartbeatTimeout || errors.Is(err, errStale) {
			wait = minBackoff
		}
		first = index + 1
		if errors.Is(err, errFallbackExpired) || errors.Is(err, errStale) {
			first = 0
		}
		if errors.Is(err, errStale) {
			avoided = avoided.with(time.Now(), addresses[index])
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxBackoff)
	}
	return nil
}

// followBounded limits the time with a fallback publisher, so that after an outage clients return to the control
// process of their own data centre.
func (c *Client) followBounded(ctx context.Context, conn drpcpool.Conn, address string, fallback bool) error {
	if !fallback {
		return c.follow(ctx, conn, address)
	}
	bounded, cancel := context.WithTimeout(ctx, fallbackPeriod/2+rand.N(fallbackPeriod))
	defer cancel()
	err := c.follow(bounded, conn, address)
	if bounded.Err() != nil {
		return errFallbackExpired
	}
	return err
}

func (c *Client) follow(ctx context.Context, conn drpcpool.Conn, address string) error {
	group, ctx := errgroup.WithContext(ctx)
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, callSubscribe, messenger.Encoding{})
	if err != nil {
		return errors.Wrap(err, "open subscription")
	}
	if c.reporter != nil {
		c.reporter.Connected()
	}
	if err := c.report(stream, true); err != nil {
		return err
	}
	c.log.Info("subscribed", "address", address, "version", c.sink.Configuration().Version())
	received := make(chan struct{}, 1)
	group.Go(func() error { return c.receive(stream, received, time.Now().Add(staleGracePeriod)) })
	group.Go(func() error { return c.reportChanges(ctx, stream) })
	group.Go(func() error {
		// A connection to a suspended or unreachable publisher does not fail by itself, so it is closed here.
		err := watchHeartbeats(ctx, received)
		_ = conn.Close()
		return err
	})
	return group.Wait()
}

func watchHeartbeats(ctx context.Context, received <-chan struct{}) error {
	timer := time.NewTimer(HeartbeatTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-received:
			timer.Reset(HeartbeatTimeout)
		case <-timer.C:
			return errors.New("no message from the publisher within the heartbeat timeout")
		}
	}
}

func (c *Client) reportChanges(ctx context.Context, stream drpc.Stream) error {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	var changed <-chan struct{}
	if c.reporter != nil {
		changed = c.reporter.Changes()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		}
		if err := c.report(stream, false); err != nil {
			return err
		}
	}
}

func (c *Client) report(stream drpc.Stream, first bool) error {
	report := reportMessage{Version: c.sink.Configuration().Version(), Region: c.region}
	if c.directory != nil {
		digests := c.directory()
		if first {
			report.Digests = digests[:]
		}
		if c.region != "" {
			report.Digest = digests.Sum()
		}
	}
	if c.reporter != nil {
		report.Node = c.reporter.Node()
	}
	return errors.Wrap(stream.MsgSend(&report, messenger.Encoding{}), "send report")
}

// receive applies updates. After deadline it leaves a publisher that is out of contact with control if there is another
// one, which may be more current.
func (c *Client) receive(stream drpc.Stream, received chan<- struct{}, deadline time.Time) error {
	var snapshot []configurer.Record
	for {
		var update updateMessage
		if err := stream.MsgRecv(&update, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive update")
		}
		select {
		case received <- struct{}{}:
		default:
		}
		c.sink.Withdraw(update.Withdrawn...)
		c.sink.Merge(update.Nodes...)
		if len(update.Controls) > 0 {
			c.sink.SetControls(update.Controls)
		}
		if update.Snapshot {
			snapshot = append(snapshot, update.Records...)
		}
		if err := c.install(update, snapshot); err != nil {
			return err
		}
		if update.Last {
			snapshot = nil
		}
		if !update.isHeartbeat() {
			continue
		}
		age := time.Duration(update.ContactAgeMillis) * time.Millisecond
		c.sink.RecordContact(age)
		if age > maxContactAge && time.Now().After(deadline) && len(c.addresses()) > 1 {
			return errors.Wrapf(errStale, "last contact %s ago", age.Round(time.Millisecond))
		}
	}
}

func (c *Client) install(update updateMessage, snapshot []configurer.Record) error {
	switch {
	case update.Snapshot && update.Last:
		return c.installSnapshot(update, snapshot)
	case !update.Snapshot && update.Operation != "":
		return c.installBatch(update)
	default:
		return nil
	}
}

func (c *Client) installSnapshot(update updateMessage, records []configurer.Record) error {
	configuration, err := configurer.FromSnapshot(configurer.Snapshot{
		Version: update.Version, Number: update.Number, Records: records,
	})
	if err != nil {
		return err
	}
	if c.sink.Install(configuration) {
		c.log.Info("configuration in force", "version", update.Version, "number", update.Number, "reason", "snapshot")
	}
	return nil
}

func (c *Client) installBatch(update updateMessage) error {
	current := c.sink.Configuration()
	if update.Version <= current.Version() {
		return nil
	}
	if update.Version != current.Version()+1 {
		return errors.Newf("version %d does not follow version %d", update.Version, current.Version())
	}
	changes, err := configurer.Changes(update.Records)
	if err != nil {
		return err
	}
	next, _, err := current.With(configurer.Batch{
		Operation: update.Operation, Changes: changes,
		Numbering: configurer.Numbering{Number: update.Number, Expected: current.Number()},
	})
	if err != nil {
		return err
	}
	if c.sink.Install(next) {
		c.log.Info("configuration in force", "version", update.Version, "number", update.Number, "reason", "change")
	}
	return nil
}
