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
	// stepInterval is the time between two checks whether a subscriber has caught up, and between two record changes.
	stepInterval = 20 * time.Millisecond
)

// subscriber simulates a node for the control process: it subscribes, reports and applies the configuration as a node
// does, but only counts the directory records that it receives.
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

// SetControls implements synchronizer.Sink.
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

// updateRecord increments the sequence number of the record, as a node does when a target announces a change, and
// signals the change to the client.
func (s *subscriber) updateRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Sequence++
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// subscriberSet is a set of running subscribers of one control process.
type subscriberSet struct {
	subscribers []*subscriber
	cancel      context.CancelFunc
	group       *errgroup.Group
}

// newSubscriberSet starts count subscribers, numbered from first, of the control process at address.
func newSubscriberSet(ctx context.Context, credentials messenger.Credentials, address string, first, count int) *subscriberSet {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	set := &subscriberSet{cancel: cancel, group: group}
	for i := range count {
		member := newSubscriber(first + i)
		set.subscribers = append(set.subscribers, member)
		log := slog.New(slog.DiscardHandler)
		client := synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return []string{address} }, member, member, log)
		group.Go(func() error { return client.Run(ctx) })
	}
	return set
}

// close stops all members and waits for their end.
func (set *subscriberSet) close() {
	set.cancel()
	_ = set.group.Wait()
}

// waitVersion waits until the configuration of every member has at least the given version.
func (set *subscriberSet) waitVersion(ctx context.Context, version uint64) error {
	return set.waitAll(ctx, func(s *subscriber) bool { return s.Configuration().Version() >= version })
}

// waitRecords waits until every member has received at least count directory records.
func (set *subscriberSet) waitRecords(ctx context.Context, count int64) error {
	return set.waitAll(ctx, func(s *subscriber) bool { return s.receivedRecords.Load() >= count })
}

// waitAll waits until ready returns true for every member. It fails after catchUpTimeout.
func (set *subscriberSet) waitAll(ctx context.Context, ready func(*subscriber) bool) error {
	deadline := time.Now().Add(catchUpTimeout)
	for _, member := range set.subscribers {
		for !ready(member) {
			if time.Now().After(deadline) {
				return errors.New("timed out waiting for a subscriber to catch up")
			}
			if err := sleep(ctx, stepInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// sleep waits for duration, or until ctx ends and then returns its error.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "sleep")
	case <-time.After(duration):
		return nil
	}
}
