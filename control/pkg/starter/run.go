package starter

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/administrator"
	"samphiremount.example/control/pkg/proposer"
	"samphiremount.example/core/explainer"
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
	fleet, err := core.Listen("--fleet", settings.Fleet)
	if err != nil {
		return err
	}
	operators, err := core.Listen("--operators", settings.Operators)
	if err != nil {
		return err
	}
	metrics, err := core.Listen("--metrics", settings.Metrics)
	if err != nil {
		return err
	}
	log := logger.New(os.Stderr, settings.LogLevel())
	hub := synchronizer.NewHub()
	publisher := synchronizer.NewServer(hub, log.Part("publish"))
	mux := messenger.Mux{}
	publisher.Register(mux)
	pool := messenger.NewPool(credentials)
	handler := administrator.New(
		token, newProposer(settings, hub), hub, publisher, explainer.New(pool), log.Part("operate"),
	).Handler()
	log.Part("control").Info("control started", "name", settings.Name, "fleet", fleet.Addr(),
		"operators", operators.Addr(), "metrics", metrics.Addr())

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return core.ServeMetrics(ctx, metrics) })
	group.Go(func() error { return core.ServeHTTP(ctx, operators, handler, stopGrace) })
	group.Go(func() error { return messenger.NewServer(credentials, mux, log.Part("fleet")).Serve(ctx, fleet) })
	group.Go(func() error { return publisher.Run(ctx) })
	for _, peer := range settings.Peers {
		client := synchronizer.NewClient(pool, []string{peer}, hub, nil, log.Part("follow"))
		group.Go(func() error { return client.Run(ctx) })
	}
	return group.Wait()
}

func newProposer(settings Settings, hub *synchronizer.Hub) proposer.Proposer {
	if settings.Primary {
		return proposer.NewPrimary(hub)
	}
	return proposer.Secondary{}
}
