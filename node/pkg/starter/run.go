package starter

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/exchanger"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/lender"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/acceptor"
	"samphiremount.example/node/pkg/carrier"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/drawer"
	"samphiremount.example/node/pkg/enroller"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/keeper"
	"samphiremount.example/node/pkg/prober"
	"samphiremount.example/node/pkg/recorder"
	"samphiremount.example/node/pkg/reporter"
	"samphiremount.example/node/pkg/viewer"
	"samphiremount.example/node/pkg/watcher"
)

const (
	stopGrace = 30 * time.Second
	// leaveDelay lets the directory spread, and callers take the answers that end their connections.
	leaveDelay   = 3 * time.Second
	headTimeout  = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	maxHeadBytes = 64 << 10
	maxPeers     = 3
)

// Run runs a node until ctx ends. Then the node announces that it leaves, finishes what it has and stops.
func Run(ctx context.Context, settings Settings) error {
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	credentials, err := settings.Credentials()
	if err != nil {
		return err
	}
	parts := assemble(settings, listeners, credentials)
	parts.log.Part("node").Info("node started", "node", settings.Name, "entry", listeners.entry.Addr(),
		"fleet", listeners.fleet.Addr(), "metrics", listeners.metrics.Addr())
	return parts.run(ctx, listeners)
}

type listeners struct {
	entry, fleet, local, metrics net.Listener
}

func listen(settings Settings) (listeners, error) {
	var opened listeners
	var wrong []error
	open := func(listener *net.Listener, flag, address string) {
		var err error
		*listener, err = core.Listen(flag, address)
		if err != nil {
			wrong = append(wrong, err)
		}
	}
	open(&opened.entry, "--entry", settings.Entry)
	open(&opened.fleet, "--fleet", settings.Fleet)
	open(&opened.local, "--local", settings.Local)
	open(&opened.metrics, "--metrics", settings.Metrics)
	return opened, core.Join(wrong)
}

// publishers returns the control processes, and after them, while none of them is heard, peers that may know more.
func publishers(settings Settings, view *viewer.Viewer) synchronizer.Addresses {
	return func() []string {
		addresses := slices.Clone(settings.Controls)
		now := view.View()
		if now.ControlAge(time.Now()) < synchronizer.SilenceLimit {
			return addresses
		}
		addresses = append(addresses, settings.Peers...)
		for _, node := range now.Directory.Nodes() {
			if node.Name != settings.Name && !node.Gone && len(addresses) < len(settings.Controls)+maxPeers {
				addresses = append(addresses, node.Address)
			}
		}
		return addresses
	}
}

// parts are the long-lived pieces of a node.
type parts struct {
	log      logger.Logger
	view     *viewer.Viewer
	reporter *reporter.Reporter
	enroller *enroller.Enroller
	conns    *connector.Connector
	client   *synchronizer.Client
	prober   *prober.Prober
	keeper   *keeper.Keeper
	data     string
	drawer   *drawer.Drawer
	lender   *lender.Lender
	watcher  *watcher.Watcher
	acceptor *acceptor.Acceptor
	carrier  *carrier.Server
	server   *messenger.Server
}

func assemble(settings Settings, listeners listeners, credentials messenger.Credentials) parts {
	decisions := recorder.New(settings.Decisions)
	log := logger.New(os.Stderr, settings.LogLevel()).Through(decisions.Handler)
	pool := messenger.NewPool(credentials)
	incarnation := uint64(time.Now().UnixNano())
	hub := synchronizer.NewHub()
	view := viewer.New(hub)
	own := reporter.New(tracker.Node{
		Name: settings.Name, Region: settings.Region, Centre: settings.Centre, Incarnation: incarnation,
		Address: cmp.Or(settings.Advertise, listeners.fleet.Addr().String()), Entry: listeners.entry.Addr().String(),
	})
	targets := enroller.New(log.Part("enroll"), own.SetTargets)
	mux := messenger.Mux{}
	explainer.Register(mux, decisions)
	age := func() time.Duration { return view.View().ControlAge(time.Now()) }
	synchronizer.NewServer(hub, age, log.Part("publish")).Register(mux)
	draws := rand.New(rand.NewPCG(incarnation, rand.Uint64()))
	peers := prober.New(settings.Name, settings.Region, pool, view, draws, log.Part("probe"))
	peers.Register(mux)
	cache := keeper.New(settings.Data, hub, log.Part("keep"))
	if settings.Data != "" {
		cache.Load(view)
	}
	rates := newLender(settings, mux, pool, hub, log)
	tokens := drawer.New(exchanger.NewClient(pool), settings.lenderAddresses(), log.Part("admit"))
	client := carrier.NewClient(pool, expvar.NewMap("entry"))
	counts := expvar.NewMap("gate")
	targetConns := connector.New(counts)
	seen := watcher.New(pool, settings.Controls, func() []tracker.Target { return own.Node().Targets }, log.Part("eject"))
	spread := spreader(settings.Name, view, client)
	gate := gatekeeper.New(incarnation, targets, targetConns, seen, counts, log.Part("gate"), spread)
	fleet := carrier.NewServer(gate, client)
	fleet.Register(mux)
	return parts{
		log:      log,
		view:     view,
		reporter: own,
		enroller: targets,
		conns:    targetConns,
		carrier:  fleet,
		prober:   peers,
		keeper:   cache,
		data:     settings.Data,
		client:   synchronizer.NewClient(pool, publishers(settings, view), view, own, log.Part("subscribe")),
		server:   messenger.NewServer(credentials, mux, log.Part("fleet")),
		drawer:   tokens,
		lender:   rates,
		watcher:  seen,
		acceptor: acceptor.New(acceptor.Dependencies{
			Name: settings.Name, Viewer: view, Client: client, Drawer: tokens, Retrier: retrier.New(), Watcher: seen,
			Place:  router.Place{Region: settings.Region, Centre: settings.Centre},
			Random: rand.New(rand.NewPCG(incarnation, rand.Uint64())),
			Route:  log.Part("route"), Admit: log.Part("admit"),
		}),
	}
}

// spreader tells the other gates of a service of a crash.
func spreader(name string, view *viewer.Viewer, client *carrier.Client) func(string, quarantiner.Crash) {
	return func(service string, crash quarantiner.Crash) {
		addresses := make(map[string]struct{})
		for _, placement := range view.View().Directory.Placements(service) {
			if placement.Node.Name != name {
				addresses[placement.Node.Address] = struct{}{}
			}
		}
		client.SpreadCrash(slices.Collect(maps.Keys(addresses)), crash)
	}
}

// newLender returns the lender of a node that is named as one, and nil on all others.
func newLender(
	settings Settings, mux messenger.Mux, pool *messenger.Pool, hub *synchronizer.Hub, log logger.Logger,
) *lender.Lender {
	lenders := settings.AllLenders()
	if _, ok := lenders[settings.Name]; !ok {
		return nil
	}
	rates := lender.New(time.Now(), lender.Dependencies{
		Name: settings.Name, Lenders: lenders.Names(), Peers: lenders.Others(settings.Name), Configuration: hub,
		Borrower: exchanger.NewClient(pool), Log: log.Part("lend"),
	})
	exchanger.Register(mux, rates)
	return rates
}

// run stops the parts in order: the node leaves the directory first, then callers' connections finish, then what other
// nodes sent to the gate, and the stream to control ends last.
func (p parts) run(ctx context.Context, listeners listeners) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return core.ServeMetrics(background, listeners.metrics) })
	group.Go(func() error { return core.ServeHTTP(background, listeners.local, p.enroller.Handler(), time.Second) })
	group.Go(func() error { return p.enroller.Run(background) })
	group.Go(func() error { return p.conns.Run(background) })
	group.Go(func() error { return p.client.Run(background) })
	group.Go(func() error { return p.prober.Run(background) })
	if p.data != "" {
		group.Go(func() error { return p.keeper.Run(background) })
	}
	group.Go(func() error { return p.drawer.Run(background) })
	if p.lender != nil {
		group.Go(func() error { return p.lender.Run(background) })
	}
	group.Go(func() error { return p.watcher.Run(background) })
	group.Go(func() error { return p.server.Serve(background, listeners.fleet) })
	group.Go(func() error {
		defer stopBackground()
		err := p.serveCallers(ctx, background, listeners.entry)
		return errors.Join(err, p.finishGate(ctx))
	})
	return group.Wait()
}
