package extrapolator

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
	catchUpTimeout = 30 * time.Second
	stepInterval   = 20 * time.Millisecond
)

// subscriber stands in for a node towards control: it subscribes, reports and applies the configuration as a node does,
// and only counts the records of the directory.
type subscriber struct {
	receivedRecords atomic.Int64
	changed         chan struct{}

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
	s.receivedRecords.Add(int64(len(records)))
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
func (s *subscriber) Connected() { s.updateRecord() }

// updateRecord counts a change of the record, as when a target announced something new.
func (s *subscriber) updateRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Sequence++
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// subscriberSet is a set of subscribers of one control process.
type subscriberSet struct {
	subscribers []*subscriber
	cancel      context.CancelFunc
	group       *errgroup.Group
}

func newSubscriberSet(ctx context.Context, credentials messenger.Credentials, address string, first, count int) *subscriberSet {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	c := &subscriberSet{cancel: cancel, group: group}
	for i := range count {
		member := newSubscriber(first + i)
		c.subscribers = append(c.subscribers, member)
		log := slog.New(slog.DiscardHandler)
		client := synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return []string{address} }, member, member, log)
		group.Go(func() error { return client.Run(ctx) })
	}
	return c
}

func (c *subscriberSet) close() {
	c.cancel()
	_ = c.group.Wait()
}

// waitVersion waits until every member has version in force.
func (c *subscriberSet) waitVersion(ctx context.Context, version uint64) error {
	return c.waitAll(ctx, func(s *subscriber) bool { return s.Configuration().Version() >= version })
}

// waitRecords waits until every member has heard of count records.
func (c *subscriberSet) waitRecords(ctx context.Context, count int64) error {
	return c.waitAll(ctx, func(s *subscriber) bool { return s.receivedRecords.Load() >= count })
}

func (c *subscriberSet) waitAll(ctx context.Context, ready func(*subscriber) bool) error {
	deadline := time.Now().Add(catchUpTimeout)
	for _, member := range c.subscribers {
		for !ready(member) {
			if time.Now().After(deadline) {
				return errors.New("the subscribers did not catch up")
			}
			if err := sleep(ctx, stepInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	case <-time.After(span):
		return nil
	}
}
