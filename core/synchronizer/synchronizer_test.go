package synchronizer_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

var credentials = messenger.NewCredentials("test", []byte("a-secret-of-the-fleet"))

// publisher is a control process that can be stopped and started at the same address.
type publisher struct {
	hub     *synchronizer.Hub
	address string
	stop    func()
}

func publish(t *testing.T, hub *synchronizer.Hub, address string) *publisher {
	t.Helper()
	return publishWith(t, hub, address, func() time.Duration { return 0 })
}

// publishWith is publish with the age of the last contact with control.
func publishWith(t *testing.T, hub *synchronizer.Hub, address string, age synchronizer.ContactAge) *publisher {
	t.Helper()
	p, server := publishAsPeer(t, hub, address, age)
	stopServing, stopJudging := p.stop, run(t, server.Run)
	p.stop = func() {
		stopServing()
		stopJudging()
	}
	return p
}

// publishAsPeer publishes hub as a node does, which judges no other nodes.
func publishAsPeer(
	t *testing.T, hub *synchronizer.Hub, address string, age synchronizer.ContactAge,
) (*publisher, *synchronizer.Server) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	assert.NilError(t, err)
	log := slog.New(slog.DiscardHandler)
	mux := messenger.Mux{}
	server := synchronizer.NewServer(hub, age, log)
	server.Register(mux)
	stop := run(t, func(ctx context.Context) error {
		return messenger.NewServer(credentials, mux, log).Serve(ctx, listener)
	})
	return &publisher{hub, listener.Addr().String(), stop}, server
}

// sink is a Hub that checks that its version never decreases, and counts the calls of RecordContact.
type sink struct {
	*synchronizer.Hub

	t        *testing.T
	mu       sync.Mutex
	newest   uint64
	contacts int
}

func (s *sink) Install(configuration configurer.Configuration) bool {
	installed := s.Hub.Install(configuration)
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := s.Configuration().Version(); version < s.newest {
		s.t.Errorf("version went from %d back to %d", s.newest, version)
	} else {
		s.newest = version
	}
	return installed
}

func (s *sink) RecordContact(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts++
}

func subscribe(t *testing.T, addresses ...string) *sink {
	t.Helper()
	return subscribeAs(t, nil, addresses...)
}

// fixedReporter reports a record that does not change.
type fixedReporter tracker.Node

func (r fixedReporter) Node() *tracker.Node {
	node := tracker.Node(r)
	return &node
}

func (fixedReporter) Changes() <-chan struct{} { return nil }

func (fixedReporter) Connected() {}

// subscribeAs is subscribe for a process that reports its own record.
func subscribeAs(t *testing.T, reporter synchronizer.Reporter, addresses ...string) *sink {
	t.Helper()
	s := &sink{Hub: synchronizer.NewHub(), t: t}
	client := synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return addresses }, s, reporter,
		slog.New(slog.DiscardHandler))
	runClient(t, client)
	return s
}

func change(t *testing.T, hub *synchronizer.Hub, changes ...configurer.Change) {
	t.Helper()
	operation := fmt.Sprintf("operation-%d", hub.Configuration().Version())
	_, err := hub.Apply(configurer.Batch{Operation: operation, Changes: changes})
	assert.NilError(t, err)
}

func workspace(name string) configurer.Change {
	return configurer.PutWorkspace{Workspace: configurer.Workspace{Name: name, Rate: 1, Burst: 1}}
}

func waitForVersion(t *testing.T, s *sink, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := s.Configuration().Version(); got != version {
			return poll.Continue("version %d, not %d", got, version)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestSubscriberCatchesUp has a subscriber miss a few changes, more changes than a publisher keeps, and a change that
// is too large for one message.
func TestSubscriberCatchesUp(t *testing.T) {
	hub := synchronizer.NewHub()
	first := publish(t, hub, "127.0.0.1:0")
	s := subscribe(t, first.address)
	change(t, hub, workspace("one"))
	waitForVersion(t, s, 1)
	first.stop()
	for i := range 3 {
		change(t, hub, workspace(fmt.Sprint(i)))
	}
	second := publish(t, hub, first.address)
	waitForVersion(t, s, 4)
	second.stop()
	for i := range 1500 {
		change(t, hub, workspace(fmt.Sprint(i)))
	}
	var many []configurer.Change
	for i := range 20000 {
		many = append(many, workspace(fmt.Sprintf("many-%d", i)))
	}
	change(t, hub, many...)
	publish(t, hub, first.address)
	waitForVersion(t, s, 1505)
	assert.DeepEqual(t, s.Configuration().Records(), hub.Configuration().Records())
}

// TestStalePublisherChangesNothing has a subscriber fall back to a control process that lacks the newest change, the
// withdrawal of a key. The key must stay withdrawn.
func TestStalePublisherChangesNothing(t *testing.T) {
	newHub, oldHub := synchronizer.NewHub(), synchronizer.NewHub()
	key := configurer.IssueKey{Key: configurer.Key{ID: "k", Workspace: "a"}}
	for _, hub := range []*synchronizer.Hub{newHub, oldHub} {
		change(t, hub, workspace("a"), key)
	}
	change(t, newHub, configurer.WithdrawKey{ID: "k"})
	fresh := publish(t, newHub, "127.0.0.1:0")
	stale := publish(t, oldHub, "127.0.0.1:0")
	s := subscribe(t, fresh.address, stale.address)
	waitForVersion(t, s, 2)
	fresh.stop()
	s.mu.Lock()
	before := s.contacts
	s.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.contacts < before+2 {
			return poll.Continue("the stale publisher has sent no heartbeat yet")
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
	stored, _ := s.Configuration().Key("k")
	assert.Assert(t, stored.Withdrawn, "a stale publisher put a withdrawn key back in force")
	assert.Equal(t, s.Configuration().Version(), uint64(2))
}

// TestWithdrawalOutlivesOlderConfiguration withdraws a key outside the configuration, then applies a configuration in
// which the key is in force, and one that contains the withdrawal.
func TestWithdrawalOutlivesOlderConfiguration(t *testing.T) {
	hub := synchronizer.NewHub()
	assert.DeepEqual(t, hub.Withdraw("k"), []string{"k"})
	assert.Equal(t, len(hub.Withdraw("k")), 0, "a repeated withdrawal must not be reported as added")
	change(t, hub, workspace("a"), configurer.IssueKey{Key: configurer.Key{ID: "k", Workspace: "a"}})
	assert.DeepEqual(t, hub.Withdrawn(), []string{"k"})
	change(t, hub, configurer.WithdrawKey{ID: "k"})
	assert.Equal(t, len(hub.Withdrawn()), 0, "the configuration contains the withdrawal")
	assert.Equal(t, len(hub.Withdraw("k")), 0)
}

// TestDirectoryReachesSubscribers passes a node record and a withdrawal on through two processes.
func TestDirectoryReachesSubscribers(t *testing.T) {
	hub := synchronizer.NewHub()
	first := publish(t, hub, "127.0.0.1:0")
	middle := subscribe(t, first.address)
	second := publish(t, middle.Hub, "127.0.0.1:0")
	last := subscribe(t, second.address)
	hub.Merge(tracker.Node{Name: "n", Incarnation: 1, Sequence: 1})
	hub.Withdraw("k")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := last.Directory().Node("n"); !ok || len(last.Withdrawn()) != 1 {
			return poll.Continue("the record has not arrived yet")
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
}

// TestOddTextOfOneTargetStopsNoSubscriber has a node with a target whose name is not UTF-8. The directory and later changes
// must still reach all subscribers.
func TestOddTextOfOneTargetStopsNoSubscriber(t *testing.T) {
	hub := synchronizer.NewHub()
	first := publish(t, hub, "127.0.0.1:0")
	node := subscribeAs(t, fixedReporter{Name: "n", Incarnation: 1, Sequence: 1, Targets: []tracker.Target{
		{Name: "i-\xff", Service: "s", Slots: 1}, {Name: "i", Service: "s", Slots: 1},
	}}, first.address)
	other := subscribe(t, publish(t, node.Hub, "127.0.0.1:0").address)
	change(t, hub, workspace("one"))
	for _, s := range []*sink{{Hub: hub}, node, other} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if placements := s.Directory().Placements("s"); len(placements) != 2 || s.Configuration().Version() != 1 {
				return poll.Continue("%d targets, version %d", len(placements), s.Configuration().Version())
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second))
	}
}

// TestLongTextsOfOperatorsReachSubscribers guards against updates that are too large for one message.
func TestLongTextsOfOperatorsReachSubscribers(t *testing.T) {
	hub := synchronizer.NewHub()
	first := publish(t, hub, "127.0.0.1:0")
	early := subscribe(t, first.address)
	waitForVersion(t, early, 0)
	var long []configurer.Change
	for i := range 200 {
		long = append(long, workspace(fmt.Sprintf("%030000d", i)))
	}
	change(t, hub, long...)
	waitForVersion(t, early, 1)
	waitForVersion(t, subscribe(t, first.address), 1)
}

// countingReporter reports a record whose sequence number grows with each connection. Its target leaves if departed is set.
type countingReporter struct {
	sequence atomic.Uint64
	departed atomic.Bool
}

func (r *countingReporter) Node() *tracker.Node {
	node := &tracker.Node{Name: "n", Incarnation: 1, Sequence: r.sequence.Load()}
	if r.departed.Load() {
		node.Departures = []tracker.Departure{{Target: "t", Left: true}}
	} else {
		node.Targets = []tracker.Target{{Name: "t", Service: "s"}}
	}
	return node
}

func (r *countingReporter) depart() {
	r.departed.Store(true)
	r.sequence.Add(1)
}

func (*countingReporter) Changes() <-chan struct{} { return nil }

func (r *countingReporter) Connected() { r.sequence.Add(1) }

// TestNodeThatChangesPublisherIsLost guards against targets that get no requests any more after their node has moved from one
// control process to another, since the first one declares it lost.
func TestNodeThatChangesPublisherIsLost(t *testing.T) {
	first, second := publish(t, synchronizer.NewHub(), "127.0.0.1:0"), publish(t, synchronizer.NewHub(), "127.0.0.1:0")
	for _, pair := range [][2]*publisher{{first, second}, {second, first}} {
		client := synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return []string{pair[1].address} }, pair[0].hub, nil,
			slog.New(slog.DiscardHandler))
		runClient(t, client)
	}
	reporter := &countingReporter{}
	connect := func(p *publisher) (stop func()) {
		return runClient(t, synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return []string{p.address} },
			&sink{Hub: synchronizer.NewHub(), t: t}, reporter, slog.New(slog.DiscardHandler)))
	}
	isKnown := func(poll.LogT) poll.Result {
		if len(first.hub.Directory().Placements("s")) == 1 && len(second.hub.Directory().Placements("s")) == 1 {
			return poll.Success()
		}
		return poll.Continue("the target is not known to both")
	}
	stop := connect(first)
	poll.WaitOn(t, isKnown)
	stop()
	connect(second)
	for deadline := time.Now().Add(synchronizer.NodeLifetime + 2*synchronizer.HeartbeatPeriod); time.Now().Before(deadline); {
		for _, p := range []*publisher{first, second} {
			node, _ := p.hub.Directory().Node("n")
			assert.Assert(t, !node.Gone)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestNodeThatReportsToAPeerIsLost guards against targets that are taken for lost while their node is subscribed to another node,
// because it could not reach control for a moment: the node stays with that peer for 15 s to 45 s.
func TestNodeThatReportsToAPeerIsLost(t *testing.T) {
	control, _, _ := reportToPeer(t)
	for deadline := time.Now().Add(2 * synchronizer.NodeLifetime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		node, _ := control.Directory().Node("n")
		assert.Assert(t, !node.Gone)
	}
}

// TestDepartureReportedToAPeerIsForgotten guards against an acknowledged departure that only the peer has to which its node is
// subscribed: once the node has restarted and subscribed to control, a late announcement adds the target again.
func TestDepartureReportedToAPeerIsForgotten(t *testing.T) {
	control, reporter, received := reportToPeer(t)
	reporter.depart()
	hasDeparture := func(hub *synchronizer.Hub) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if node, _ := hub.Directory().Node("n"); len(node.Departures) == 1 {
				return poll.Success()
			}
			return poll.Continue("the departure is not known")
		}
	}
	poll.WaitOn(t, hasDeparture(received))
	poll.WaitOn(t, hasDeparture(control), poll.WithTimeout(2*synchronizer.NodeLifetime))
}

// reportToPeer has a node report to control, and then to a peer that is subscribed to control. It returns what control holds, the
// node's record, and what the node has received.
func reportToPeer(t *testing.T) (control *synchronizer.Hub, reporter *countingReporter, received *synchronizer.Hub) {
	t.Helper()
	subscribe := func(hub *synchronizer.Hub, address string, reporter synchronizer.Reporter) (stop func()) {
		return runClient(t, synchronizer.NewClient(messenger.NewPool(credentials), func() []string { return []string{address} }, hub,
			reporter, slog.New(slog.DiscardHandler)))
	}
	publisher := publish(t, synchronizer.NewHub(), "127.0.0.1:0")
	peer, _ := publishAsPeer(t, synchronizer.NewHub(), "127.0.0.1:0", func() time.Duration { return 0 })
	subscribe(peer.hub, publisher.address, nil)
	reporter, received = &countingReporter{}, synchronizer.NewHub()
	stop := subscribe(received, publisher.address, reporter)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(publisher.hub.Directory().Placements("s")) == 1 {
			return poll.Success()
		}
		return poll.Continue("the target is not known to control")
	})
	stop()
	subscribe(received, peer.address, reporter)
	return publisher.hub, reporter, received
}

// runClient runs client until the returned function is called, or else until the end of the test.
func runClient(t *testing.T, client *synchronizer.Client) (stop func()) {
	t.Helper()
	return run(t, client.Run)
}

// run runs task until the returned function is called, or else until the end of the test.
func run(t *testing.T, task func(ctx context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = task(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
	})
	t.Cleanup(stop)
	return stop
}
