package extrapolator

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
)

const (
	idleDuration = 4 * time.Second
	// settleDuration gives the processes time to exchange and process the messages that follow a change.
	settleDuration = 2 * time.Second
	changeCount    = 100
	deltaCount     = 60
)

var (
	nodeCounts   = []int{40, 80, 160, 240}
	recordCounts = []int{5000, 10000, 20000, 40000}
)

// Control measures running control processes from another process, with subscribers that simulate nodes. NodePID and
// LimitedNodePID are the process identifiers of two real nodes that subscribe too, the latter with a memory limit.
// FleetAddress and OperatorsAddress are the listeners of the leader, and Token is the operators' token.
type Control struct {
	LeaderPID        int
	FollowerPID      int
	NodePID          int
	LimitedNodePID   int
	FleetAddress     string
	OperatorsAddress string
	Token            string
	Credentials      messenger.Credentials
}

// controlSeries holds the series that Control.Measure fills.
type controlSeries struct {
	idleCPU, idleSent, idleReceived, memory  Series
	changeCPU, changeSent, followerChangeCPU Series
	deltaCPU, deltaSent                      Series
	reconnectCPU, reconnectSent              Series
	snapshotCPU, snapshotSent                Series
	nodesCPU, nodeMemory, limitedNodeMemory  Series
}

func newControlSeries() *controlSeries {
	nodes := func(name, unit string) Series {
		return Series{Name: name, Unit: unit, SizeUnit: "nodes", DesignSize: designNodes}
	}
	pairs := func(name, unit string) Series {
		return Series{Name: name, Unit: unit, SizeUnit: "pairs of nodes", DesignSize: designNodes * designNodes}
	}
	const records = 2*designWorkspaces + designRoutes + designServices
	all := func(name, unit string) Series {
		return Series{Name: name, Unit: unit, SizeUnit: "records", DesignSize: records}
	}
	return &controlSeries{
		idleCPU:           nodes("control: processor time of heartbeats and reports, each second", "µs"),
		idleSent:          nodes("control: bytes sent in heartbeats, each second", "bytes"),
		idleReceived:      nodes("control: bytes received in reports, each second", "bytes"),
		memory:            nodes("control: resident memory", "bytes"),
		changeCPU:         nodes("control leader: processor time of one change", "µs"),
		changeSent:        nodes("control leader: bytes sent for one change", "bytes"),
		followerChangeCPU: nodes("control follower without nodes: processor time of one change", "µs"),
		deltaCPU:          nodes("control: processor time of one directory delta", "µs"),
		deltaSent:         nodes("control: bytes sent for one directory delta", "bytes"),
		reconnectCPU:      pairs("control: processor time while all nodes reconnect at once", "µs"),
		reconnectSent:     pairs("control: bytes sent while all nodes reconnect at once", "bytes"),
		snapshotCPU:       all("control: processor time of one snapshot sent", "µs"),
		snapshotSent:      all("control: bytes of one snapshot sent", "bytes"),
		nodeMemory:        all("node: resident memory after a change", "bytes"),
		limitedNodeMemory: all("node with a limit on its memory: resident memory after a change", "bytes"),
		nodesCPU:          nodes("all nodes together: processor time of heartbeats and reports, each second", "µs"),
	}
}

func (m *controlSeries) all() []Series {
	return []Series{
		m.idleCPU, m.idleSent, m.idleReceived, m.memory, m.changeCPU, m.changeSent, m.followerChangeCPU,
		m.deltaCPU, m.deltaSent, m.reconnectCPU, m.reconnectSent, m.snapshotCPU, m.snapshotSent,
		m.nodesCPU, m.nodeMemory, m.limitedNodeMemory,
	}
}

// Measure returns the costs of the control processes by the number of nodes and by the number of configuration records,
// and some costs of the nodes.
func (c Control) Measure(ctx context.Context) ([]Series, error) {
	m := newControlSeries()
	for _, size := range nodeCounts {
		if err := c.measureNodes(ctx, m, size); err != nil {
			return nil, errors.Wrapf(err, "%d nodes", size)
		}
	}
	for _, size := range recordCounts {
		if err := c.measureSnapshot(ctx, m, size); err != nil {
			return nil, errors.Wrapf(err, "%d records", size)
		}
	}
	return m.all(), nil
}

// measureNodes measures the costs with size simulated nodes. A first set of them connects and disconnects without being
// measured, so that the measured connections are reconnections.
func (c Control) measureNodes(ctx context.Context, m *controlSeries, size int) error {
	first := newSubscriberSet(ctx, c.Credentials, c.FleetAddress, 0, size)
	if err := first.waitRecords(ctx, int64(size)); err != nil {
		first.close()
		return err
	}
	first.close()
	set, err := c.measureReconnect(ctx, m, size)
	if err != nil {
		return err
	}
	defer set.close()
	idle, err := c.measureIdle(ctx, m, size)
	if err != nil {
		return err
	}
	if err := c.measureChanges(ctx, m, set, idle); err != nil {
		return err
	}
	return c.measureDeltas(ctx, m, set, idle)
}

// measureReconnect measures the leader while size simulated nodes connect at once. The caller closes the set.
func (c Control) measureReconnect(ctx context.Context, m *controlSeries, size int) (*subscriberSet, error) {
	before, err := readUsage(c.LeaderPID)
	if err != nil {
		return nil, err
	}
	set := newSubscriberSet(ctx, c.Credentials, c.FleetAddress, 0, size)
	err = errors.CombineErrors(set.waitRecords(ctx, int64(size)), sleep(ctx, settleDuration))
	if err != nil {
		set.close()
		return nil, err
	}
	after, err := readUsage(c.LeaderPID)
	spent := after.since(before)
	pairs := float64(size * size)
	m.reconnectCPU.add(pairs, microseconds(spent.cpu))
	m.reconnectSent.add(pairs, spent.sent)
	return set, err
}

// measureIdle measures the leader, and this process with all simulated nodes, while nothing changes. It returns the
// usage of the leader per second.
func (c Control) measureIdle(ctx context.Context, m *controlSeries, size int) (usage, error) {
	before, err := readUsage(c.LeaderPID)
	if err != nil {
		return usage{}, err
	}
	nodesBefore, err := readUsage(os.Getpid())
	if err != nil {
		return usage{}, err
	}
	if err := sleep(ctx, idleDuration); err != nil {
		return usage{}, err
	}
	nodesAfter, err := readUsage(os.Getpid())
	if err != nil {
		return usage{}, err
	}
	m.nodesCPU.add(float64(size), microseconds(nodesAfter.since(nodesBefore).cpu)/idleDuration.Seconds())
	after, err := readUsage(c.LeaderPID)
	spent := after.since(before)
	perSecond := usage{
		cpu:  time.Duration(float64(spent.cpu) / idleDuration.Seconds()),
		sent: spent.sent / idleDuration.Seconds(), received: spent.received / idleDuration.Seconds(),
	}
	m.idleCPU.add(float64(size), microseconds(perSecond.cpu))
	m.idleSent.add(float64(size), perSecond.sent)
	m.idleReceived.add(float64(size), perSecond.received)
	m.memory.add(float64(size), spent.memory)
	return perSecond, err
}

// measureChanges measures the leader and a follower while changeCount changes are applied one by one, until all nodes
// of set have them. The idle usage per second is subtracted from that of the leader.
func (c Control) measureChanges(ctx context.Context, m *controlSeries, set *subscriberSet, idle usage) error {
	followerBefore, err := readUsage(c.FollowerPID)
	if err != nil {
		return err
	}
	leaderUsage, seconds, err := c.measureUsage(func() error {
		var version uint64
		for i := range changeCount {
			change := workspaceChanges(i + 1)[i:]
			var err error
			if version, err = c.applyChanges(ctx, change); err != nil {
				return err
			}
		}
		return set.waitVersion(ctx, version)
	})
	if err != nil {
		return err
	}
	size := float64(len(set.subscribers))
	spent := leaderUsage.minusIdle(idle, seconds)
	m.changeCPU.add(size, microseconds(spent.cpu)/changeCount)
	m.changeSent.add(size, spent.sent/changeCount)
	followerAfter, err := readUsage(c.FollowerPID)
	m.followerChangeCPU.add(size, microseconds(followerAfter.since(followerBefore).cpu)/changeCount)
	return err
}

// measureDeltas measures the leader while the records of simulated nodes change deltaCount times, less its idle usage.
func (c Control) measureDeltas(ctx context.Context, m *controlSeries, set *subscriberSet, idle usage) error {
	spent, seconds, err := c.measureUsage(func() error {
		for i := range deltaCount {
			set.subscribers[i%len(set.subscribers)].updateRecord()
			if err := sleep(ctx, stepInterval); err != nil {
				return err
			}
		}
		return sleep(ctx, settleDuration)
	})
	size := float64(len(set.subscribers))
	spent = spent.minusIdle(idle, seconds)
	m.deltaCPU.add(size, microseconds(spent.cpu)/deltaCount)
	m.deltaSent.add(size, spent.sent/deltaCount)
	return err
}

// measureSnapshot brings the configuration to about size records. It then measures the memory of the real nodes, and
// the leader while it sends a snapshot to a joining node.
func (c Control) measureSnapshot(ctx context.Context, m *controlSeries, size int) error {
	version, err := c.applyChanges(ctx, workspaceChanges(size))
	if err != nil {
		return err
	}
	if err := sleep(ctx, settleDuration); err != nil {
		return err
	}
	for pid, series := range map[int]*Series{c.NodePID: &m.nodeMemory, c.LimitedNodePID: &m.limitedNodeMemory} {
		used, err := readUsage(pid)
		if err != nil {
			return err
		}
		series.add(float64(size), used.memory)
	}
	var joining *subscriberSet
	spent, _, err := c.measureUsage(func() error {
		joining = newSubscriberSet(ctx, c.Credentials, c.FleetAddress, 0, 1)
		return joining.waitVersion(ctx, version)
	})
	joining.close()
	m.snapshotCPU.add(float64(size), microseconds(spent.cpu))
	m.snapshotSent.add(float64(size), spent.sent)
	return err
}

// measureUsage returns the usage of the leader while work runs, and the duration of work in seconds.
func (c Control) measureUsage(work func() error) (usage, float64, error) {
	before, err := readUsage(c.LeaderPID)
	if err != nil {
		return usage{}, 0, err
	}
	started := time.Now()
	if err := work(); err != nil {
		return usage{}, 0, err
	}
	after, err := readUsage(c.LeaderPID)
	return after.since(before), time.Since(started).Seconds(), err
}

func (s *Series) add(size, value float64) {
	s.Points = append(s.Points, Point{size, value})
}

func microseconds(duration time.Duration) float64 {
	return float64(duration.Nanoseconds()) / float64(time.Microsecond)
}

// minusIdle returns u less the usage of an idle process over the given time, where idle is per second.
func (u usage) minusIdle(idle usage, seconds float64) usage {
	return usage{
		cpu:  u.cpu - time.Duration(float64(idle.cpu)*seconds),
		sent: u.sent - idle.sent*seconds, received: u.received - idle.received*seconds, memory: u.memory,
	}
}
