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
	minPause = 100 * time.Millisecond
	maxPause = 600 * time.Millisecond
	// dialLimit bounds a new connection to a publisher. One that is there answers within a few ways between regions.
	dialLimit = 800 * time.Millisecond
	// substitutePeriod is how long a client stays, on average, with a publisher that is not its best.
	substitutePeriod = 30 * time.Second
	// staleStay is how long a client stays with a publisher that is cut off from the leader: long enough for the publisher
	// to know it as present, and for what that one has to arrive.
	staleStay = 700 * time.Millisecond
)

var (
	errStale = errors.New("the publisher is out of contact with the leader")
	// errSubstitute ends the time with a publisher that is not the best one. The best is tried next.
	errSubstitute = errors.New("the publisher was a substitute")
)

// Sink takes what a publisher sends, if it is newer than what it holds.
type Sink interface {
	Configuration() configurer.Configuration
	Install(configuration configurer.Configuration) bool
	Merge(records ...tracker.Node) []tracker.Node
	Withdraw(ids ...string) []string
	// Locate takes where the control processes can be reached.
	Locate(controls []tracker.Control)
	// Heard tells that a control process was heard that long ago, by the publisher or by this process itself.
	Heard(age time.Duration)
}

// Reporter supplies the record that a subscriber reports about itself. Reports delivers a value after each change.
// Connected is called at each new connection, before the first report on it.
type Reporter interface {
	Node() *tracker.Node
	Reports() <-chan struct{}
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
}

// NewClient returns a client that tries addresses in turn. Reporter may be nil for a process that is not a node.
func NewClient(pool *messenger.Pool, addresses Addresses, sink Sink, reporter Reporter, log *slog.Logger) *Client {
	return &Client{pool: pool, addresses: addresses, sink: sink, reporter: reporter, log: log}
}

// Run keeps a subscription until ctx ends. Pauses between tries grow, and are drawn at random so that many clients
// that lost the same publisher do not return at the same moment.
func (c *Client) Run(ctx context.Context) error {
	wait, first := minPause, 0
	for ctx.Err() == nil {
		addresses := c.addresses()
		first %= len(addresses)
		started := time.Now()
		conn, place, err := c.reach(ctx, addresses, first)
		if err == nil {
			err = c.followFor(ctx, conn, addresses[place], place != 0)
		}
		if ctx.Err() != nil {
			return nil
		}
		c.log.Warn("subscription lost", "address", addresses[place], "reason", err.Error())
		if time.Since(started) > SilenceLimit || errors.Is(err, errStale) {
			wait = minPause
		}
		first = place + 1
		if errors.Is(err, errSubstitute) {
			first = 0
		}
		pause(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxPause)
	}
	return nil
}

// followFor follows a publisher that is not the best one only for a while, so that after an outage clients return to
// the control process of their own data centre.
func (c *Client) followFor(ctx context.Context, conn drpcpool.Conn, address string, substitute bool) error {
	if !substitute {
		return c.follow(ctx, conn, address)
	}
	bounded, cancel := context.WithTimeout(ctx, substitutePeriod/2+rand.N(substitutePeriod))
	defer cancel()
	err := c.follow(bounded, conn, address)
	if bounded.Err() != nil {
		return errSubstitute
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
	if err := c.report(stream); err != nil {
		return err
	}
	c.log.Info("subscribed", "address", address, "version", c.sink.Configuration().Version())
	heard := make(chan struct{}, 1)
	group.Go(func() error { return c.receive(stream, heard, time.Now().Add(staleStay)) })
	group.Go(func() error { return c.reportChanges(ctx, stream) })
	group.Go(func() error {
		// A connection that went silent never fails by itself, so it is closed here.
		err := watchSilence(ctx, heard)
		_ = conn.Close()
		return err
	})
	return group.Wait()
}

func watchSilence(ctx context.Context, heard <-chan struct{}) error {
	timer := time.NewTimer(SilenceLimit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heard:
			timer.Reset(SilenceLimit)
		case <-timer.C:
			return errors.New("the publisher is silent")
		}
	}
}

func (c *Client) reportChanges(ctx context.Context, stream drpc.Stream) error {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	var changed <-chan struct{}
	if c.reporter != nil {
		changed = c.reporter.Reports()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		}
		if err := c.report(stream); err != nil {
			return err
		}
	}
}

func (c *Client) report(stream drpc.Stream) error {
	report := reportMessage{Version: c.sink.Configuration().Version()}
	if c.reporter != nil {
		report.Node = c.reporter.Node()
	}
	return errors.Wrap(stream.MsgSend(&report, messenger.Encoding{}), "send report")
}

// receive takes updates. A publisher that is itself cut off is left at the deadline: another one may know more.
func (c *Client) receive(stream drpc.Stream, heard chan<- struct{}, deadline time.Time) error {
	var snapshot []configurer.Record
	for {
		var update updateMessage
		if err := stream.MsgRecv(&update, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive update")
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		c.sink.Withdraw(update.Withdrawn...)
		c.sink.Merge(update.Nodes...)
		if len(update.Controls) > 0 {
			c.sink.Locate(update.Controls)
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
		if !update.heartbeat() {
			continue
		}
		age := time.Duration(update.Age) * time.Millisecond
		c.sink.Heard(age)
		if age > staleAge && time.Now().After(deadline) && len(c.addresses()) > 1 {
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
