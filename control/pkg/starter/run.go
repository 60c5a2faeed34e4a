package starter

import (
	"context"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/administrator"
	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/exchanger"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/lender"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/synchronizer"
)

const stopGrace = 10 * time.Second

// Run runs a control process until ctx ends.
func Run(ctx context.Context, settings Settings) error {
	credentials, err := settings.Credentials()
	if err != nil {
		return err
	}
	token, err := core.ReadSecret("--token-file", settings.Token)
	if err != nil {
		return err
	}
	opened, err := listen(settings)
	if err != nil {
		return err
	}
	log := logger.New(os.Stderr, settings.LogLevel())
	folder, err := storer.NewFolder(settings.Data)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	hub := synchronizer.NewHub()
	pool := messenger.NewPool(credentials)
	replicated, err := newReplicated(settings, folder, hub, pool, log)
	if err != nil {
		return err
	}
	publisher := synchronizer.NewServer(hub, replicated.Age, log.Part("publish"))
	mux := messenger.Mux{}
	publisher.Register(mux)
	replicated.Register(mux)
	rates := lender.New(time.Now(), lender.Dependencies{
		Name: settings.Name, Lenders: settings.AllLenders().Names(), Peers: settings.AllLenders().Others(settings.Name), Configuration: hub,
		Borrower: exchanger.NewClient(pool), Log: log.Part("lend"),
	})
	exchanger.Register(mux, rates)
	examined := newExaminer(settings, hub, pool, log)
	examined.Register(mux)
	handler := administrator.New(token, replicated, hub, publisher, explainer.New(pool), log.Part("operate")).Handler()
	log.Part("control").Info("control started", "name", settings.Name, "fleet", opened.fleet.Addr(),
		"operators", opened.operators.Addr(), "metrics", opened.metrics.Addr())

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return core.ServeMetrics(ctx, opened.metrics) })
	group.Go(func() error { return core.ServeHTTP(ctx, opened.operators, handler, stopGrace) })
	group.Go(func() error { return messenger.NewServer(credentials, mux, log.Part("fleet")).Serve(ctx, opened.fleet) })
	group.Go(func() error { return publisher.Run(ctx) })
	group.Go(func() error { return replicated.Run(ctx) })
	group.Go(func() error { return rates.Run(ctx) })
	group.Go(func() error { return examined.Run(ctx) })
	group.Go(func() error { return follow(ctx, settings, hub, pool, log) })
	return group.Wait()
}

// follow takes the directory of each other control process until ctx ends.
func follow(
	ctx context.Context, settings Settings, hub *synchronizer.Hub, pool *messenger.Pool, log logger.Logger,
) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, address := range settings.Addresses().Others(settings.Name) {
		client := synchronizer.NewClient(pool, func() []string { return []string{address} }, directorySink{hub}, nil, log.Part("follow"))
		group.Go(func() error { return client.Run(ctx) })
	}
	return group.Wait()
}

type listeners struct {
	fleet, operators, metrics net.Listener
}

func listen(settings Settings) (listeners, error) {
	fleet, err := core.Listen("--fleet", settings.Fleet)
	if err != nil {
		return listeners{}, err
	}
	operators, err := core.Listen("--operators", settings.Operators)
	if err != nil {
		return listeners{}, err
	}
	metrics, err := core.Listen("--metrics", settings.Metrics)
	return listeners{fleet, operators, metrics}, err
}
