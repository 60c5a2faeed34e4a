package starter

import (
	"cmp"
	"context"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/logger"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/acceptor"
	"samphiremount.example/node/pkg/gatekeeper"
)

// leaveDelay gives the directory time to reach the other nodes, and callers time to receive the answers that close their
// connections. lastRequestDelay is the time that callers have to send a request over a connection that they just opened.
const (
	leaveDelay       = 3 * time.Second
	lastRequestDelay = 500 * time.Millisecond
)

// Run runs a node with the product's own interfaces until ctx ends. Then the node announces that it leaves, finishes
// its requests and stops.
func Run(ctx context.Context, settings Settings) error {
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	credentials, err := settings.Credentials()
	if err != nil {
		return err
	}
	writer := logger.NewBounded(os.Stdout)
	defer writer.Close()
	node := New(Options{
		Name: settings.Name, Region: settings.Region, Centre: settings.Centre,
		Entry: listeners.entry.Addr().String(), Fleet: cmp.Or(settings.Advertise, listeners.fleet.Addr().String()),
		Seeds: settings.Controls, OnlySeeds: true, Peers: settings.Peers, Data: settings.Data, Decisions: settings.Decisions,
		Lenders: settings.AllLenders(), NodeLenders: settings.NodeLend,
		AnnouncementLifetime: registrar.AnnouncementLifetime, Protocol: gatekeeper.DefaultProtocol{},
		NarrowLink: settings.Narrow,
		Admission:  settings.Admission, Paces: settings.Pace,
		BodyLimits:  acceptor.BodyLimits{MaxBytes: settings.MaxBody, MaxStall: settings.MaxStall},
		Stop:        stopper.Policy{Grace: settings.Grace, Leave: leaveDelay, LastRequest: lastRequestDelay},
		Router:      router.New(router.Locality{Region: settings.Region, Centre: settings.Centre}),
		RetryPolicy: func(int) retrier.Policy { return retrier.DefaultPolicy() },
	}, credentials, logger.New(writer, settings.LogLevel()))
	node.Log().Part("node").Info("node started", "node", settings.Name, "entry", listeners.entry.Addr(),
		"fleet", listeners.fleet.Addr(), "metrics", listeners.metrics.Addr())
	err = node.Run(ctx, listeners.fleet, listeners.entry, node.Acceptor.Handler(), func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return core.LogSignals(ctx, node.Log().Part("node")) })
		group.Go(func() error { return core.ServeMetrics(ctx, nil, listeners.metrics) })
		group.Go(func() error { return core.ServeHTTP(ctx, listeners.local, node.Enroller.Handler(), time.Second) })
		return group.Wait()
	})
	node.Log().Part("node").Info("node stopped", "node", settings.Name)
	writer.CloseBy(node.ExitAt())
	return err
}

type listeners struct {
	entry, fleet, local, metrics net.Listener
}

func listen(settings Settings) (listeners, error) {
	var opener core.Opener
	opened := listeners{
		entry:   opener.Listen("--entry", settings.Entry),
		fleet:   opener.Listen("--fleet", settings.Fleet),
		local:   opener.Listen("--local", settings.Local),
		metrics: opener.Listen("--metrics", settings.Metrics),
	}
	return opened, opener.Err()
}
