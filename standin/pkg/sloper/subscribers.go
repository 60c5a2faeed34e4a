package sloper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

const (
	settleLimit = 30 * time.Second
	settlePause = 20 * time.Millisecond
)

// subscriber stands in for a node towards control: it subscribes, reports and applies the configuration as a node does,
// and only counts the records of the directory.
type subscriber struct {
	nodes   atomic.Int64
	changed chan struct{}

	mu            sync.Mutex
	record        tracker.Node
	configuration configurer.Configuration
}

var (
	_ synchronizer.Sink     = (*subscriber)(nil)
	_ synchronizer.Reporter = (*subscriber)(nil)
)

func newSubscriber(i int) *subscriber {
	record := nodeRecord(i)
	record.Incarnation = uint64(time.Now().UnixNano())
	return &subscriber{changed: make(chan struct{}, 1), record: record}
}

// Configuration implements synchronizer.Sink.
func (s *subscriber) Configuration() configurer.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration
}

// Install implements synchronizer.Sink.
func (s *subscriber) Install(configuration configurer.Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = configuration
	return true
}

// Merge implements synchronizer.Sink.
func (s *subscriber) Merge(records ...tracker.Node) []tracker.Node {
	s.nodes.Add(int64(len(records)))
	return nil
}

// Withdraw implements synchronizer.Sink.
func (s *subscriber) Withdraw(...string) []string { return nil }

// RecordContact implements synchronizer.Sink.
func (s *subscriber) RecordContact(time.Duration) {}

func (s *subscriber) SetControls([]tracker.Control) {}

// Node implements synchronizer.Reporter.
func (s *subscriber) Node() *tracker.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record
	return &record
}

// Changes implements synchronizer.Reporter.
func (s *subscriber) Changes() <-chan struct{} { return s.changed }

// Connected implements synchronizer.Reporter.
func (s *subscriber) Connected() { s.change() }

// change counts a change of the record, as when a target announced something new.
func (s *subscriber) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Sequence++
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// crowd is a set of subscribers of one control process.
type crowd struct {
	members []*subscriber
	cancel  context.CancelFunc
	group   *errgroup.Group
}

func newCrowd(ctx context.Context, credentials messenger.Credentials, address string, first, count int) *crowd {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	c := &crowd{cancel: cancel, group: group}
	for i := range count {
		member := newSubscriber(first + i)
		c.members = append(c.members, member)
		log := slog.New(slog.DiscardHandler)
		client := synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return []string{address} }, member, member, log)
		group.Go(func() error { return client.Run(ctx) })
	}
	return c
}

func (c *crowd) close() {
	c.cancel()
	_ = c.group.Wait()
}

// waitVersion waits until every member has version in force.
func (c *crowd) waitVersion(ctx context.Context, version uint64) error {
	return c.wait(ctx, func(s *subscriber) bool { return s.Configuration().Version() >= version })
}

// waitNodes waits until every member has heard of count records.
func (c *crowd) waitNodes(ctx context.Context, count int64) error {
	return c.wait(ctx, func(s *subscriber) bool { return s.nodes.Load() >= count })
}

func (c *crowd) wait(ctx context.Context, ready func(*subscriber) bool) error {
	deadline := time.Now().Add(settleLimit)
	for _, member := range c.members {
		for !ready(member) {
			if time.Now().After(deadline) {
				return errors.New("the subscribers did not catch up")
			}
			if err := pause(ctx, settlePause); err != nil {
				return err
			}
		}
	}
	return nil
}

func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	case <-time.After(span):
		return nil
	}
}
