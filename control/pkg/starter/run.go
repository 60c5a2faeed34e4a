package starter

import (
	"context"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/proposer"
	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/detector"
	"samphiremount.example/core/logger"
	core "samphiremount.example/core/starter"
)

const shutdownTimeout = 10 * time.Second

// Run runs a control process with the operators' API and the metrics until ctx ends.
func Run(ctx context.Context, settings Settings) error {
	credentials, err := settings.Credentials()
	if err != nil {
		return err
	}
	token, err := core.ReadSecret("--token-file", settings.TokenFile)
	if err != nil {
		return err
	}
	opened, err := listen(settings)
	if err != nil {
		return err
	}
	lines := logger.NewBounded(os.Stdout)
	defer lines.Close()
	log := logger.New(lines, settings.LogLevel())
	folder, err := storer.NewFolder(settings.Data)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	control, err := New(settings.options(), folder, credentials, log)
	if err != nil {
		return err
	}
	handler := control.Administrator(token).Handler()
	log.Part("control").Info("control started", "name", settings.Name, "fleet", opened.fleet.Addr(),
		"operators", opened.operators.Addr(), "metrics", opened.metrics.Addr())

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return core.ServeMetrics(ctx, nil, opened.metrics) })
	group.Go(func() error { return core.ServeHTTP(ctx, opened.operators, handler, shutdownTimeout) })
	group.Go(func() error { return control.Run(ctx, opened.fleet) })
	return group.Wait()
}

// options returns the options for settings that Check has accepted.
func (s *Settings) options() Options {
	lean, _ := detector.ParseLean(s.Lean)
	members := s.MemberAddresses()
	lenders, _ := core.ParsePeers("--lender", s.Lenders)
	options := Options{
		Member: proposer.Settings{Name: s.Name, Address: members[s.Name], MayBootstrap: true},
		Lean:   lean, Retries: budgeter.Allowance{Window: time.Minute}, Lenders: lenders.Names(), LenderAddresses: lenders.Others(""),
	}
	for _, name := range members.Names() {
		peer := proposer.BootstrapPeer{Name: name, Address: members[name]}
		options.Member.BootstrapPeers = append(options.Member.BootstrapPeers, peer)
	}
	return options
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
