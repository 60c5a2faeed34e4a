package starter

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/lender"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/resolver"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/acceptor"
	"samphiremount.example/node/pkg/cacher"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/enroller"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/limiter"
	"samphiremount.example/node/pkg/prober"
	"samphiremount.example/node/pkg/recorder"
	"samphiremount.example/node/pkg/reporter"
	"samphiremount.example/node/pkg/viewer"
	"samphiremount.example/node/pkg/watcher"
)

// Options describe one node, whatever fronts it is used through. Entry and Fleet are the addresses under which others
// reach it. Seeds are addresses of control processes to try until control itself says where it is, or with OnlySeeds
// always. Data may be empty. Lenders are the nodes that lend parts of the workspaces' rates.
type Options struct {
	Name      string
	Region    string
	Centre    string
	Entry     string
	Fleet     string
	Seeds     []string
	OnlySeeds bool
	Peers     []string
	Data      string
	Decisions int
	Lenders   core.Peers
	// AnnouncementLifetime is how long a target's announcement counts.
	AnnouncementLifetime time.Duration
	Protocol             gatekeeper.Protocol
	Stop                 Stop
	Router               router.Router
	// RetryPolicy is asked with the number of nodes.
	RetryPolicy func(nodes int) retrier.Policy
	// UseLost and HedgeAfter are those of acceptor.Dependencies.
	UseLost    bool
	HedgeAfter float64
	// UseFallbackQuota lets a node admit an even part of a workspace's rate while no lender answers. All nodes together may then
	// exceed the rate a little while some of them still reach a lender.
	UseFallbackQuota bool
	// FallbackSlack is how many requests of a workspace all nodes together may admit so at once.
	FallbackSlack float64
}

// Stop says how a node ends. It goes on for Leave after it said that it leaves, then lets the last connections send
// their request for First, and then waits for at most Grace until what it took has ended.
type Stop struct {
	LeaveDelay       time.Duration
	LastRequestDelay time.Duration
	Grace            time.Duration
}

// Node is one node without its fronts.
type Node struct {
	Acceptor *acceptor.Acceptor
	Enroller *enroller.Enroller
	Viewer   *viewer.Viewer

	options     Options
	credentials messenger.Credentials
	log         logger.Logger
	mux         messenger.Mux
	pool        *messenger.Pool
	reporter    *reporter.Reporter
	connector   *connector.Connector
	client      *synchronizer.Client
	prober      *prober.Prober
	cacher      *cacher.Cacher
	limiter     *limiter.Limiter
	budget      *budgeter.Client
	lender      *lender.Lender
	watcher     *watcher.Watcher
	forwarder   *forwarder.Server
	leaving     atomic.Bool
}

// New returns a node that knows nothing yet but what its data folder holds.
func New(options Options, credentials messenger.Credentials, log logger.Logger) *Node {
	decisions := recorder.New(options.Decisions)
	log = log.Wrap(decisions.Handler)
	incarnation := uint64(time.Now().UnixNano())
	hub := synchronizer.NewHub()
	view := viewer.New(hub)
	n := &Node{
		Viewer: view, options: options, credentials: credentials, log: log, mux: messenger.Mux{},
		pool: messenger.NewPool(credentials),
		reporter: reporter.New(tracker.Node{
			Name: options.Name, Region: options.Region, Centre: options.Centre, Incarnation: incarnation,
			Address: options.Fleet, Entry: options.Entry,
		}),
	}
	explainer.Register(n.mux, decisions)
	n.assembleControl(hub, incarnation)
	n.assembleRequests(incarnation)
	return n
}

// noControls says nothing of where control processes are.
type noControls struct{}

func (noControls) Controls() []tracker.Control { return nil }

// assembleControl makes the parts that keep the node in touch with control.
func (n *Node) assembleControl(hub *synchronizer.Hub, incarnation uint64) {
	place := resolver.Locality{Name: n.options.Name, Region: n.options.Region, Centre: n.options.Centre}
	source := resolver.Source(hub)
	if n.options.OnlySeeds {
		source = noControls{}
	}
	located := resolver.New(place, n.options.Seeds, source)
	age := func() time.Duration { return n.Viewer.View().ControlAge(timekeeper.Now()) }
	synchronizer.NewServer(hub, age, n.log.Part("publish")).Register(n.mux)
	random := rand.New(rand.NewPCG(incarnation, rand.Uint64()))
	n.prober = prober.New(n.options.Name, n.options.Region, n.pool, n.Viewer, random, n.log.Part("probe"))
	n.prober.Register(n.mux)
	n.cacher = cacher.New(n.options.Data, hub, n.log.Part("keep"))
	if n.options.Data != "" {
		n.cacher.Load(n.Viewer)
	}
	n.client = synchronizer.NewClient(n.pool, n.publishers(located), n.Viewer, n.reporter, n.log.Part("subscribe"))
	n.watcher = watcher.New(n.pool, located.Addresses, func() []tracker.Target { return n.reporter.Node().Targets }, n.log.Part("eject"))
	n.lender = n.newLender(hub, located)
	n.budget = budgeter.NewClient(n.pool, located.Owner, n.log.Part("budget"))
	n.limiter = limiter.New(borrower.NewClient(n.pool), n.tokenSources(hub, located), n.log.Part("admit"))
	if n.lender == nil {
		borrower.RegisterProxier(n.mux, n.limiter)
	}
}

// assembleRequests makes the parts that requests pass through.
func (n *Node) assembleRequests(incarnation uint64) {
	n.Enroller = enroller.New(n.options.AnnouncementLifetime, n.log.Part("enroll"), n.reporter.SetTargets)
	client := forwarder.NewClient(n.pool, expvar.NewMap("entry"), n.log.Part("route"))
	counts := expvar.NewMap("gate")
	n.connector = connector.New(counts)
	gate := gatekeeper.New(
		incarnation, n.options.Protocol, n.Enroller, n.connector, n.watcher, counts, n.log.Part("gate"), n.crashBroadcaster(client),
	)
	n.forwarder = forwarder.NewServer(gate, client)
	n.forwarder.Register(n.mux)
	n.Acceptor = acceptor.New(acceptor.Dependencies{
		Name: n.options.Name, Viewer: n.Viewer, Client: client, Limiter: n.limiter, Retrier: retrier.NewWith(n.retryPolicy),
		Watcher: n.watcher, Locality: n.options.Router.Locality(), Router: n.options.Router, UseLost: n.options.UseLost,
		HedgeAfter: n.options.HedgeAfter, Budget: n.budget, RetryFraction: gate.RetryFraction,
		Random:   rand.New(rand.NewPCG(incarnation, rand.Uint64())),
		RouteLog: n.log.Part("route"), AdmitLog: n.log.Part("admit"),
	})
}

func (n *Node) retryPolicy() retrier.Policy {
	return n.options.RetryPolicy(n.Viewer.View().Directory.Len())
}

// publishers returns the control processes, and after them, while none of them is heard, a peer that may know more.
func (n *Node) publishers(located *resolver.Resolver) synchronizer.Addresses {
	return func() []string {
		addresses := located.Addresses()
		now := n.Viewer.View()
		if now.ControlAge(timekeeper.Now()) < synchronizer.HeartbeatTimeout {
			return addresses
		}
		return resolver.WithFallback(addresses, n.peers(now.Directory), rand.IntN)
	}
}

// peers returns the addresses of the peers that the settings name, or else of all nodes that are there.
func (n *Node) peers(directory tracker.Directory) []string {
	if len(n.options.Peers) > 0 {
		return n.options.Peers
	}
	var peers []string
	for _, node := range directory.Nodes() {
		if node.Name != n.options.Name && !node.Gone {
			peers = append(peers, node.Address)
		}
	}
	return peers
}

// maxProxies is the number of peers that are asked for tokens in turn while lenders are silent.
const maxProxies = 2

// tokenSources returns where the node gets tokens: from the lenders that own a part of the workspace's rate, and then from
// the others, which ask those.
func (n *Node) tokenSources(hub *synchronizer.Hub, located *resolver.Resolver) limiter.Sources {
	all := n.lenderAddresses(located)
	sources := limiter.Sources{Lenders: func(name string) []string {
		workspace, ok := hub.Configuration().Workspace(name)
		if !ok {
			return all()
		}
		names := make(map[string]string)
		var lenders []string
		for _, control := range hub.Controls() {
			names[control.Address] = control.Name
			lenders = append(lenders, control.Name)
		}
		owns := func(address string) bool {
			return allocator.QuotaFor(workspace, lenders, names[address]).Burst > 0
		}
		addresses := all()
		return append(slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !owns(a) }),
			slices.DeleteFunc(addresses, owns)...)
	}}
	sources.Peers = func() []string {
		peers := slices.Clone(n.peers(hub.Directory()))
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		return peers[:min(maxProxies, len(peers))]
	}
	if n.options.UseFallbackQuota {
		sources.Fallback = func(name string) allocator.FallbackQuota {
			workspace, _ := hub.Configuration().Workspace(name)
			return allocator.FallbackQuota{
				Rate: workspace.Rate, Burst: workspace.Burst, Slack: n.options.FallbackSlack, Nodes: hub.Directory().Len(),
			}
		}
	}
	return sources
}

// lenderAddresses returns whom the node borrows from: the control processes first, then the other lenders, which are
// all that is left in an outage of control.
func (n *Node) lenderAddresses(located *resolver.Resolver) func() []string {
	return func() []string {
		return core.Union(located.Addresses(), n.options.Lenders.Others(""))
	}
}

// newLender returns the lender of a node that is named as one, and nil on all others.
func (n *Node) newLender(hub *synchronizer.Hub, located *resolver.Resolver) *lender.Lender {
	lenders := n.options.Lenders
	if _, ok := lenders[n.options.Name]; !ok {
		return nil
	}
	rates := lender.New(timekeeper.Now(), lender.Dependencies{
		Name: n.options.Name, Configuration: hub, Borrower: borrower.NewClient(n.pool), Log: n.log.Part("lend"),
		Lenders: func() []string {
			return core.Union(lenders.Names(), tracker.ControlNames(hub.Controls()))
		},
		Peers: func() []string {
			own := lenders[n.options.Name]
			return slices.DeleteFunc(n.lenderAddresses(located)(), func(address string) bool { return address == own })
		},
	})
	borrower.Register(n.mux, rates)
	return rates
}

// crashBroadcaster tells the other gates of a service of a crash.
func (n *Node) crashBroadcaster(client *forwarder.Client) func(string, quarantiner.Crash) {
	return func(service string, crash quarantiner.Crash) {
		addresses := make(map[string]struct{})
		for _, placement := range n.Viewer.View().Directory.Placements(service) {
			if placement.Node.Name != n.options.Name {
				addresses[placement.Node.Address] = struct{}{}
			}
		}
		client.BroadcastCrash(slices.Collect(maps.Keys(addresses)), crash)
	}
}

// Ready reports whether a request that came now could be served: the node has a configuration and a directory, and is
// not stopping.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.hasView()
}

// hasView reports whether the node has a configuration and a directory.
func (n *Node) hasView() bool {
	view := n.Viewer.View()
	return view.Configuration.Version() > 0 && view.Directory.Len() > 0
}

// Log returns the logger of the node's lines, which also keeps those about requests for samphire explain.
func (n *Node) Log() logger.Logger { return n.log }

// Run runs the node until ctx ends, with fleet as the listener for other processes and handler for callers. Local
// runs beside it until the last request has ended. The parts stop in order: the node leaves the directory first, then
// callers' connections finish, then what other nodes sent to the gate, and the stream to control ends last.
func (n *Node) Run(
	ctx context.Context, fleet, callers net.Listener, handler http.Handler, local func(ctx context.Context) error,
) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	parts := []func(context.Context) error{
		local, n.Enroller.Run, n.connector.Run, n.client.Run, n.prober.Run, n.limiter.Run, n.watcher.Run,
		n.budget.Run,
	}
	if n.options.Data != "" {
		parts = append(parts, n.cacher.Run)
	}
	if n.lender != nil {
		parts = append(parts, n.lender.Run)
	}
	for _, part := range parts {
		group.Go(func() error { return part(background) })
	}
	server := messenger.NewServer(n.credentials, n.mux, n.log.Part("fleet"))
	group.Go(func() error { return server.Serve(background, fleet) })
	group.Go(func() error {
		defer stopBackground()
		err := n.serveCallers(ctx, background, callers, handler)
		return errors.Join(err, n.stopGate(ctx))
	})
	return group.Wait()
}
