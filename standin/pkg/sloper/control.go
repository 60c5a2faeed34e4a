package sloper

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
)

const (
	idleSpan    = 4 * time.Second
	settleSpan  = 2 * time.Second
	changesMade = 100
	deltasMade  = 60
)

var (
	crowdSizes    = []int{40, 80, 160, 240}
	snapshotSizes = []int{5000, 10000, 20000, 40000}
)

// Control measures a running control process from outside, with stand-ins in place of nodes.
type Control struct {
	Process     int
	Follower    int
	Fleet       string
	Operators   string
	Token       string
	Credentials messenger.Credentials
}

// measure holds the series that Measure fills.
type measure struct {
	idleProcessor, idleSent, idleReceived, memory Series
	changeProcessor, changeSent, followerChange   Series
	deltaProcessor, deltaSent                     Series
	reconnectProcessor, reconnectSent             Series
	snapshotProcessor, snapshotSent               Series
	nodeProcessor                                 Series
}

func newMeasure() *measure {
	nodes := func(name, unit string) Series {
		return Series{Name: name, Unit: unit, Per: "nodes", Target: targetNodes}
	}
	pairs := func(name, unit string) Series {
		return Series{Name: name, Unit: unit, Per: "pairs of nodes", Target: targetNodes * targetNodes}
	}
	const records = 2*targetWorkspaces + targetRoutes + targetServices
	all := func(name, unit string) Series { return Series{Name: name, Unit: unit, Per: "records", Target: records} }
	return &measure{
		idleProcessor:      nodes("control: processor time of heartbeats and reports, each second", "µs"),
		idleSent:           nodes("control: bytes sent in heartbeats, each second", "bytes"),
		idleReceived:       nodes("control: bytes received in reports, each second", "bytes"),
		memory:             nodes("control: resident memory", "bytes"),
		changeProcessor:    nodes("control leader: processor time of one change", "µs"),
		changeSent:         nodes("control leader: bytes sent for one change", "bytes"),
		followerChange:     nodes("control follower without nodes: processor time of one change", "µs"),
		deltaProcessor:     nodes("control: processor time of one directory delta", "µs"),
		deltaSent:          nodes("control: bytes sent for one directory delta", "bytes"),
		reconnectProcessor: pairs("control: processor time while all nodes reconnect at once", "µs"),
		reconnectSent:      pairs("control: bytes sent while all nodes reconnect at once", "bytes"),
		snapshotProcessor:  all("control: processor time of one snapshot sent", "µs"),
		snapshotSent:       all("control: bytes of one snapshot sent", "bytes"),
		nodeProcessor:      nodes("all nodes together: processor time of heartbeats and reports, each second", "µs"),
	}
}

func (m *measure) series() []Series {
	return []Series{
		m.idleProcessor, m.idleSent, m.idleReceived, m.memory, m.changeProcessor, m.changeSent, m.followerChange,
		m.deltaProcessor, m.deltaSent, m.reconnectProcessor, m.reconnectSent, m.snapshotProcessor, m.snapshotSent,
		m.nodeProcessor,
	}
}

// Measure returns control's costs by the number of nodes and by the size of the configuration.
func (c Control) Measure(ctx context.Context) ([]Series, error) {
	m := newMeasure()
	for _, size := range crowdSizes {
		if err := c.measureCrowd(ctx, m, size); err != nil {
			return nil, errors.Wrapf(err, "%d nodes", size)
		}
	}
	for _, size := range snapshotSizes {
		if err := c.measureSnapshot(ctx, m, size); err != nil {
			return nil, errors.Wrapf(err, "%d records", size)
		}
	}
	return m.series(), nil
}

func (c Control) measureCrowd(ctx context.Context, m *measure, size int) error {
	first := newCrowd(ctx, c.Credentials, c.Fleet, 0, size)
	if err := first.waitNodes(ctx, int64(size)); err != nil {
		first.close()
		return err
	}
	first.close()
	crowd, err := c.measureReconnect(ctx, m, size)
	if err != nil {
		return err
	}
	defer crowd.close()
	idle, err := c.measureIdle(ctx, m, size)
	if err != nil {
		return err
	}
	if err := c.measureChanges(ctx, m, crowd, idle); err != nil {
		return err
	}
	return c.measureDeltas(ctx, m, crowd, idle)
}

func (c Control) measureReconnect(ctx context.Context, m *measure, size int) (*crowd, error) {
	before, err := readUsage(c.Process)
	if err != nil {
		return nil, err
	}
	crowd := newCrowd(ctx, c.Credentials, c.Fleet, 0, size)
	err = errors.CombineErrors(crowd.waitNodes(ctx, int64(size)), pause(ctx, settleSpan))
	if err != nil {
		crowd.close()
		return nil, err
	}
	after, err := readUsage(c.Process)
	spent := after.since(before)
	pairs := float64(size * size)
	m.reconnectProcessor.add(pairs, micros(spent.processor))
	m.reconnectSent.add(pairs, spent.sent)
	return crowd, err
}

// measureIdle returns what the process uses each second while nothing changes.
func (c Control) measureIdle(ctx context.Context, m *measure, size int) (usage, error) {
	before, err := readUsage(c.Process)
	if err != nil {
		return usage{}, err
	}
	nodesBefore, err := readUsage(os.Getpid())
	if err != nil {
		return usage{}, err
	}
	if err := pause(ctx, idleSpan); err != nil {
		return usage{}, err
	}
	nodesAfter, err := readUsage(os.Getpid())
	if err != nil {
		return usage{}, err
	}
	m.nodeProcessor.add(float64(size), micros(nodesAfter.since(nodesBefore).processor)/idleSpan.Seconds())
	after, err := readUsage(c.Process)
	spent := after.since(before)
	second := usage{
		processor: time.Duration(float64(spent.processor) / idleSpan.Seconds()),
		sent:      spent.sent / idleSpan.Seconds(), received: spent.received / idleSpan.Seconds(),
	}
	m.idleProcessor.add(float64(size), micros(second.processor))
	m.idleSent.add(float64(size), second.sent)
	m.idleReceived.add(float64(size), second.received)
	m.memory.add(float64(size), spent.memory)
	return second, err
}

func (c Control) measureChanges(ctx context.Context, m *measure, crowd *crowd, idle usage) error {
	follower, err := readUsage(c.Follower)
	if err != nil {
		return err
	}
	leader, seconds, err := c.during(func() error {
		var version uint64
		for i := range changesMade {
			change := workspaceChanges(i + 1)[i:]
			var err error
			if version, err = c.change(ctx, change); err != nil {
				return err
			}
		}
		return crowd.waitVersion(ctx, version)
	})
	if err != nil {
		return err
	}
	size := float64(len(crowd.members))
	spent := leader.without(idle, seconds)
	m.changeProcessor.add(size, micros(spent.processor)/changesMade)
	m.changeSent.add(size, spent.sent/changesMade)
	followed, err := readUsage(c.Follower)
	m.followerChange.add(size, micros(followed.since(follower).processor)/changesMade)
	return err
}

func (c Control) measureDeltas(ctx context.Context, m *measure, crowd *crowd, idle usage) error {
	spent, seconds, err := c.during(func() error {
		for i := range deltasMade {
			crowd.members[i%len(crowd.members)].change()
			if err := pause(ctx, settlePause); err != nil {
				return err
			}
		}
		return pause(ctx, settleSpan)
	})
	size := float64(len(crowd.members))
	spent = spent.without(idle, seconds)
	m.deltaProcessor.add(size, micros(spent.processor)/deltasMade)
	m.deltaSent.add(size, spent.sent/deltasMade)
	return err
}

// measureSnapshot brings the configuration to size records and lets one newcomer fetch them.
func (c Control) measureSnapshot(ctx context.Context, m *measure, size int) error {
	version, err := c.change(ctx, workspaceChanges(size))
	if err != nil {
		return err
	}
	if err := pause(ctx, settleSpan); err != nil {
		return err
	}
	var newcomer *crowd
	spent, _, err := c.during(func() error {
		newcomer = newCrowd(ctx, c.Credentials, c.Fleet, 0, 1)
		return newcomer.waitVersion(ctx, version)
	})
	newcomer.close()
	m.snapshotProcessor.add(float64(size), micros(spent.processor))
	m.snapshotSent.add(float64(size), spent.sent)
	return err
}

// during returns what the process uses while work runs, and how long that takes in seconds.
func (c Control) during(work func() error) (usage, float64, error) {
	before, err := readUsage(c.Process)
	if err != nil {
		return usage{}, 0, err
	}
	started := time.Now()
	if err := work(); err != nil {
		return usage{}, 0, err
	}
	after, err := readUsage(c.Process)
	return after.since(before), time.Since(started).Seconds(), err
}

func (s *Series) add(size, value float64) {
	s.Points = append(s.Points, Point{size, value})
}

func micros(span time.Duration) float64 {
	return float64(span.Nanoseconds()) / float64(time.Microsecond)
}

// without returns the usage less what an idle process uses in as many seconds.
func (u usage) without(idle usage, seconds float64) usage {
	return usage{
		processor: u.processor - time.Duration(float64(idle.processor)*seconds),
		sent:      u.sent - idle.sent*seconds, received: u.received - idle.received*seconds, memory: u.memory,
	}
}
