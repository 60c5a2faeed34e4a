// Package prober probes other nodes of the region while this node is out of contact with the control processes, and
// answers their probes.
package prober

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/fencer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/ticker"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/viewer"
)

const (
	callProbe = "probe"

	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// maxProbes keeps the cost of a probe round independent of the size of the fleet.
	maxProbes = 7
)

type probeMessage struct {
	Node string `cbor:"1,keyasint"`
}

// Prober sends and answers the probes of one node.
type Prober struct {
	name   string
	region string
	pool   *messenger.Pool
	viewer *viewer.Viewer
	random *rand.Rand
	log    *slog.Logger
}

// New returns a Prober for the node with that name and region. The random source must not be shared with other
// goroutines.
func New(
	name, region string, pool *messenger.Pool, viewer *viewer.Viewer, random *rand.Rand, log *slog.Logger,
) *Prober {
	return &Prober{name: name, region: region, pool: pool, viewer: viewer, random: random, log: log}
}

// Register adds to mux the handler of the probes from peers.
func (p *Prober) Register(mux messenger.Mux) {
	mux[callProbe] = func(stream drpc.Stream) error {
		var probe probeMessage
		if err := stream.MsgRecv(&probe, messenger.Encoding{}); err != nil {
			return err
		}
		return stream.MsgSend(&probeMessage{Node: p.name}, messenger.Encoding{})
	}
}

// Run probes a sample of peers every second while the last contact with a control process is older than
// fencer.ProbeContactAge, until ctx ends. It logs the verdict of the fencer each time its reason changes.
func (p *Prober) Run(ctx context.Context) error {
	reason := ""
	ticker.Every(ctx, probeInterval, func(time.Time) {
		if p.viewer.View().ControlAge(timekeeper.Now()) > fencer.ProbeContactAge {
			p.probePeers(ctx)
		}
		verdict := p.viewer.View().Assess(timekeeper.Now())
		if verdict.Reason() != reason {
			reason = verdict.Reason()
			_, serves := verdict.(fencer.Serve)
			p.log.Info("freshness assessed", "serves", serves, "reason", reason)
		}
	})
	return nil
}

func (p *Prober) probePeers(ctx context.Context) {
	startedAt := time.Now()
	peers := p.samplePeers(p.viewer.View().Directory.Nodes())
	var answered atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range peers {
		group.Go(func() error {
			if p.probe(ctx, peer) == nil {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	p.viewer.RecordProbes(startedAt, len(peers), int(answered.Load()))
}

// samplePeers returns up to maxProbes random nodes of the local region. It includes nodes that the directory lists as
// lost: otherwise a node that is partitioned from the others would find no peers. Nodes of remote regions are
// excluded, so that a region keeps serving when it is partitioned from the others.
func (p *Prober) samplePeers(nodes []tracker.Node) []tracker.Node {
	var peers []tracker.Node
	for _, node := range nodes {
		if node.Name != p.name && node.Region == p.region && !node.Leaving {
			peers = append(peers, node)
		}
	}
	p.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxProbes)]
}

func (p *Prober) probe(ctx context.Context, peer tracker.Node) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.pool.Dial(ctx, peer.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var answer probeMessage
	return conn.Invoke(ctx, callProbe, messenger.Encoding{}, &probeMessage{Node: p.name}, &answer)
}
