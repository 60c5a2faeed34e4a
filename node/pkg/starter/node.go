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

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/lender"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/resolver"
	"samphiremount.example/core/retrier"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/stopper"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/acceptor"
	"samphiremount.example/node/pkg/cacher"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/counter"
	"samphiremount.example/node/pkg/enroller"
	"samphiremount.example/node/pkg/finisher"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/limiter"
	"samphiremount.example/node/pkg/prober"
	"samphiremount.example/node/pkg/recorder"
	"samphiremount.example/node/pkg/reporter"
	"samphiremount.example/node/pkg/viewer"
	"samphiremount.example/node/pkg/watcher"
)

// Node is one node without the listeners and handlers for callers and targets.
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
	subscriber  *synchronizer.Client
	prober      *prober.Prober
	cacher      *cacher.Cacher
	limiter     *limiter.Limiter
	budget      *budgeter.Client
	lender      *lender.Lender
	watcher     *watcher.Watcher
	gate        *gatekeeper.Gatekeeper
	client      *forwarder.Client
	forwarder   *forwarder.Server
	plan        atomic.Pointer[stopper.Plan]
	callers     *finisher.Finisher
	tasks       *counter.Counter
	connections *connectionStates
}

// New returns a node. Its initial state is the cache in its data folder, if there is one.
func New(options Options, credentials messenger.Credentials, log logger.Logger) *Node {
	decisions := recorder.New(options.Decisions)
	log = log.Wrap(decisions.Handler)
	incarnation := uint64(time.Now().UnixNano())
	hub := synchronizer.NewHub()
	view := viewer.New(hub)
	n := &Node{
		Viewer: view, options: options, credentials: credentials, log: log, mux: messenger.Mux{},
		pool: messenger.NewPool(credentials), callers: finisher.New(), tasks: counter.New(), connections: newConnectionStates(),
		reporter: reporter.New(tracker.Node{
			Name: options.Name, Region: options.Region, Centre: options.Centre, Incarnation: incarnation,
			Address: options.Fleet, Entry: options.Entry, Narrow: options.NarrowLink, Lends: options.NodeLenders,
		}, time.Now().Add(registrar.DepartureLifetime)),
	}
	n.Enroller = enroller.New(options.AnnouncementLifetime, n.log.Part("enroll"), n.reporter)
	view.OnMerge = n.receiveOwnRecord
	explainer.Register(n.mux, decisions)
	n.assembleControl(hub, incarnation)
	n.assembleRequests(n.reporter.Node().Incarnation)
	return n
}

// receiveOwnRecord adopts the departures that other processes hold of this node, some of them perhaps from an earlier
// incarnation, and refutes the loss of the node. An earlier process of this node may have had a clock that was ahead; this one
// then continues as a later incarnation, since everyone ignores the record of an earlier one.
func (n *Node) receiveOwnRecord(changed []tracker.Node) {
	for _, node := range changed {
		if node.Name != n.options.Name {
			continue
		}
		if own := n.reporter.Node(); node.Incarnation > own.Incarnation && node.Address == own.Address {
			n.raiseIncarnation(node.Incarnation + 1)
		}
		n.reporter.RecordReceived(node.Departures)
		n.Enroller.Inherit(node.Departures)
		if n.reporter.Refute(node) {
			n.log.Part("node").Warn("loss of this node refuted", "sequence", node.Sequence)
		}
	}
}

func (n *Node) raiseIncarnation(incarnation uint64) {
	// The gate comes first: it refuses requests that are meant for an incarnation which it does not know.
	if n.gate != nil {
		n.gate.RaiseIncarnation(incarnation)
	}
	n.reporter.RaiseIncarnation(incarnation)
	n.log.Part("node").Warn("incarnation raised", "incarnation", incarnation,
		"reason", "an earlier process of this node had a later one")
}

// retryBudget is the name under which one control process owns the retry budgets of all services.
const retryBudget = "retries"

// noControls is a resolver.Source without control processes.
type noControls struct{}

func (noControls) Controls() []tracker.Control { return nil }

// assembleControl creates the components that keep the node connected to control.
func (n *Node) assembleControl(hub *synchronizer.Hub, incarnation uint64) {
	locality := resolver.Locality{Name: n.options.Name, Region: n.options.Region, Centre: n.options.Centre}
	source := resolver.Source(hub)
	if n.options.OnlySeeds {
		source = noControls{}
	}
	controls := resolver.New(locality, n.options.Seeds, source)
	age := func() time.Duration { return n.Viewer.View().ControlAge(timekeeper.Now()) }
	synchronizer.NewServer(hub, age, n.log.Part("publish")).Register(n.mux)
	random := rand.New(rand.NewPCG(incarnation, rand.Uint64()))
	n.prober = prober.New(n.options.Name, n.options.Region, n.pool, n.Viewer, random, n.log.Part("probe"))
	n.prober.Register(n.mux)
	n.cacher = cacher.New(n.options.Data, hub, n.log.Part("keep"))
	if n.options.Data != "" {
		n.cacher.Load(n.Viewer)
	}
	n.subscriber = synchronizer.NewClient(n.pool, n.publishers(controls), n.Viewer, n.reporter, n.log.Part("subscribe"))
	if n.options.NarrowLink {
		n.subscriber = n.subscriber.WithDigests("", func() tracker.Digests { return hub.Directory().Digests() }).
			WithParallelAttempts(func() bool { return len(hub.Controls()) == 0 })
	}
	n.watcher = watcher.New(n.pool, controls.Addresses, func() []tracker.Target { return n.reporter.Node().Targets }, n.log.Part("eject"))
	n.budget = budgeter.NewClient(n.pool, func() (string, bool) { return controls.Owner(retryBudget) }, n.log.Part("budget"))
	if n.options.NodeLenders {
		n.assembleAgreed(hub)
		return
	}
	n.lender = n.newLender(hub, controls)
	n.limiter = limiter.New(borrower.NewClient(n.pool), n.tokenSources(hub, controls), n.log.Part("admit"))
	if n.lender == nil {
		borrower.RegisterProxier(n.mux, n.limiter)
	}
}

// assembleRequests creates the components that handle requests.
func (n *Node) assembleRequests(incarnation uint64) {
	counts := expvar.NewMap("gate")
	n.connector = connector.New(counts)
	var gate *gatekeeper.Gatekeeper
	gossip := gossiper.New(func(now time.Time) []gossiper.Verdict { return gate.Verdicts(now) })
	client := forwarder.NewClient(n.pool, expvar.NewMap("entry"), gossip, n.log.Part("route"))
	gate = gatekeeper.New(
		incarnation, n.options.Protocol, n.Enroller, n.connector, n.watcher, counts, n.log.Part("gate"), n.crashBroadcaster(client),
	)
	gate.SetSite(site{
		viewer: n.Viewer, centre: n.options.Centre, requireConfiguration: n.options.RequireConfiguration, margin: n.options.ColdMargin,
	})
	n.Viewer.OnInstall = gate.UpdateSite
	n.gate, n.client = gate, client
	var admission *expvar.Map
	if n.options.Admission {
		admission = expvar.NewMap("admission")
		gate.EnableAdmission(func(service string) (time.Time, bool) { return n.Acceptor.Callable(service) })
		if n.options.Paces {
			gate.EnablePaces()
		}
	}
	n.forwarder = forwarder.NewServer(gate, client).WithMaxMemory(n.options.Clients.Limits().Gate)
	n.forwarder.Register(n.mux)
	n.Acceptor = acceptor.New(acceptor.Dependencies{
		Name: n.options.Name, Viewer: n.Viewer, Client: client, Limiter: n.limiter, Retrier: retrier.NewWith(n.retryPolicy),
		Watcher: n.watcher, Locality: n.options.Router.Locality(), Router: n.options.Router, UseLostNodes: n.options.UseLostNodes,
		HedgeAfter: n.options.HedgeAfter, BodyLimits: n.options.BodyLimits, Budget: n.budget, Gossip: gossip,
		Admission: admission,
		CallSeen:  gate.RecordCall, RetryFraction: gate.RetryFraction, CallFailed: gate.RecordFailedCall, Refuses: n.refusesCallers,
		Random:   rand.New(rand.NewPCG(incarnation, rand.Uint64())),
		RouteLog: n.log.Part("route"), AdmitLog: n.log.Part("admit"),
	})
}

func (n *Node) retryPolicy() retrier.Policy {
	return n.options.RetryPolicy(n.Viewer.View().Directory.Len())
}

// publishers returns a function that returns the control processes, best first. While no control process is in
// contact, it adds a peer, which may have newer state.
func (n *Node) publishers(controls *resolver.Resolver) synchronizer.Addresses {
	return func() []string {
		addresses := controls.Addresses()
		view := n.Viewer.View()
		if view.ControlAge(timekeeper.Now()) < synchronizer.HeartbeatTimeout {
			return addresses
		}
		return resolver.WithFallback(addresses, n.peers(view.Directory), rand.IntN)
	}
}

// peers returns the configured peer addresses, or the addresses of all present nodes if none are configured.
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

// tokenSources returns where the node borrows tokens: first from the lenders that own a quota of the workspace's
// rate, then from the other lenders, which relay the node's message to them.
func (n *Node) tokenSources(hub *synchronizer.Hub, controls *resolver.Resolver) limiter.Sources {
	allLenders := n.lenderAddresses(controls)
	sources := n.commonSources(hub, n.options.FallbackMargin)
	sources.Lenders = func(name string) []string {
		workspace, ok := hub.Configuration().Workspace(name)
		if !ok {
			return allLenders()
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
		addresses := allLenders()
		return append(slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !owns(a) }),
			slices.DeleteFunc(addresses, owns)...)
	}
	return sources
}

// lenderAddresses returns a function that returns the lenders to borrow from: the control processes first, then the
// other lenders, which remain available during an outage of control.
func (n *Node) lenderAddresses(controls *resolver.Resolver) func() []string {
	return func() []string {
		return core.Union(controls.Addresses(), n.options.Lenders.Others(""))
	}
}

// newLender returns the lender of a node that Options.Lenders names, or nil for any other node.
func (n *Node) newLender(hub *synchronizer.Hub, controls *resolver.Resolver) *lender.Lender {
	lenders := n.options.Lenders
	if _, ok := lenders[n.options.Name]; !ok {
		return nil
	}
	nodeLender := lender.New(timekeeper.Now(), lender.Dependencies{
		Name: n.options.Name, Configuration: hub, Borrower: borrower.NewClient(n.pool), Log: n.log.Part("lend"),
		Lenders: func() []string {
			return core.Union(lenders.Names(), tracker.ControlNames(hub.Controls()))
		},
		Peers: func() []string {
			own := lenders[n.options.Name]
			return slices.DeleteFunc(n.lenderAddresses(controls)(), func(address string) bool { return address == own })
		},
	})
	borrower.Register(n.mux, nodeLender)
	return nodeLender
}

// crashBroadcaster returns a function that reports a crash to the other gates of a service.
func (n *Node) crashBroadcaster(client *forwarder.Client) func(string, quarantiner.Crash) {
	return func(service string, crash quarantiner.Crash) { client.BroadcastCrash(n.otherGates(service), crash) }
}

// otherGates returns the addresses of the other nodes that have targets of service.
func (n *Node) otherGates(service string) []string {
	addresses := make(map[string]struct{})
	for _, placement := range n.Viewer.View().Directory.Placements(service) {
		if placement.Node.Name != n.options.Name {
			addresses[placement.Node.Address] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(addresses))
}

// Ready reports whether the node can serve requests: it has a configuration and a directory, and is not stopping.
func (n *Node) Ready() bool {
	return n.plan.Load() == nil && n.hasView()
}

// hasView reports whether the node has a configuration and a directory.
func (n *Node) hasView() bool {
	view := n.Viewer.View()
	return !view.Configuration.Unset() && view.Directory.Len() > 0
}

// Log returns the node's logger. Its lines about requests are also kept for the command samphire explain.
func (n *Node) Log() logger.Logger { return n.log }

// Run runs the node until ctx ends, with fleet as the listener for other processes, and callers and handler for
// callers. It runs local until the last request has ended. On shutdown the node first leaves the directory, then
// finishes the callers' requests and those that other nodes sent to its gate, and at last closes the stream to control.
// It returns at the end of the stop's plan at the latest, with an error if a task has not ended by then.
func (n *Node) Run(
	ctx context.Context, fleet, callers net.Listener, handler http.Handler, local func(ctx context.Context) error,
) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	tasks := map[string]func(context.Context) error{
		"local": local, "enroll": n.Enroller.Run, "connect": n.connector.Run, "subscribe": n.subscriber.Run, "probe": n.prober.Run,
		"crashes": n.learnCrashes, "admit": n.limiter.Run, "eject": n.watcher.Run, "budget": n.budget.Run,
	}
	if n.options.Data != "" {
		tasks["keep"] = n.cacher.Run
	}
	if n.lender != nil {
		tasks["lend"] = n.lender.Run
	}
	server := messenger.NewServer(n.credentials, n.mux, n.log.Part("fleet")).WithMaxHandshakes(n.options.Clients.Limits().Handshakes)
	tasks["fleet"] = func(ctx context.Context) error { return server.Serve(ctx, fleet) }
	for name, task := range tasks {
		group.Go(func() error { return n.runTask(background, name, task) })
	}
	stopped := make(chan struct{})
	group.Go(func() error {
		defer close(stopped)
		defer stopBackground()
		return n.serveCallers(ctx, background, callers, handler)
	})
	<-stopped
	return n.logStep("tasks", func() error { return n.awaitTasks(group) })
}
