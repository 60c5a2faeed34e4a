package starter

import (
	"context"
	"net"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/administrator"
	"samphiremount.example/control/pkg/examiner"
	"samphiremount.example/control/pkg/proposer"
	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/control/pkg/subscriber"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/detector"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/lender"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/resolver"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
)

// Options describe one control process, independent of the APIs that it serves to operators. Lenders are the names,
// and LenderAddresses the addresses, of nodes that lend quotas of the workspaces' rates in addition to the control
// processes.
type Options struct {
	Member          proposer.Settings
	Lean            detector.Lean
	Lenders         []string
	LenderAddresses []string
	// Retries bounds the extra attempts in the retry budget that the nodes share.
	Retries budgeter.Allowance
	// MaxHandshakes bounds the connections of the fleet whose handshake is in progress; 0 sets no bound.
	MaxHandshakes int
}

// Control is one control process without its operators' API: it is a member of the log, publishes to nodes, detects
// outliers among targets and lends rates.
type Control struct {
	Proposer  *proposer.Replica
	Hub       *synchronizer.Hub
	Publisher *synchronizer.Server

	credentials messenger.Credentials
	mux         messenger.Mux
	pool        *messenger.Pool
	lender      *lender.Lender
	examiner    *examiner.Examiner
	subscriber  *subscriber.Subscriber
	log         logger.Logger
	// maxHandshakes is Options.MaxHandshakes.
	maxHandshakes int
}

// New loads the state on disk and returns a control process that continues from it.
func New(options Options, disk storer.Disk, credentials messenger.Credentials, log logger.Logger) (*Control, error) {
	hub := synchronizer.NewHub()
	pool := messenger.NewPool(credentials)
	newIdentity := replicator.Identity(uuid.NewString())
	replica, err := proposer.New(options.Member, disk, newIdentity, hub, pool, log.Part("replicate"))
	if err != nil {
		return nil, err
	}
	member := options.Member
	controls := resolver.New(resolver.Locality{Name: member.Name, Region: member.Region, Centre: member.Centre}, nil, hub)
	lenders := func() []string { return core.Union(tracker.ControlNames(hub.Controls()), options.Lenders) }
	lenderPeers := func() []string { return core.Union(controls.OtherAddresses(), options.LenderAddresses) }
	c := &Control{
		Proposer: replica, Hub: hub, Publisher: synchronizer.NewServer(hub, replica.ContactAge, log.Part("publish")),
		credentials: credentials, mux: messenger.Mux{}, pool: pool, log: log, maxHandshakes: options.MaxHandshakes,
		lender: lender.New(timekeeper.Now(), lender.Dependencies{
			Name: member.Name, Lenders: lenders, Peers: lenderPeers, Configuration: hub,
			Borrower: borrower.NewClient(pool), Log: log.Part("lend"),
		}),
		examiner:   examiner.New(member.Name, controls.OtherAddresses, detector.NewSequential(options.Lean), hub, pool, log.Part("eject")),
		subscriber: subscriber.New(member.Region, controls.OtherAddresses, hub, pool, log.Part("follow")),
	}
	c.Publisher.SetRegion(member.Region)
	c.Publisher.Register(c.mux)
	replica.Register(c.mux)
	borrower.Register(c.mux, c.lender)
	c.examiner.Register(c.mux)
	budgeter.NewServer(options.Retries, log.Part("budget")).Register(c.mux)
	return c, nil
}

// Administrator returns the operators' HTTP API, which accepts requests with token.
func (c *Control) Administrator(token []byte) *administrator.Administrator {
	return administrator.New(token, c.Proposer, c.Hub, c.Publisher, explainer.New(c.pool), c.log.Part("operate"))
}

// Run runs the process until ctx ends. fleet is the listener for the other processes of the fleet.
func (c *Control) Run(ctx context.Context, fleet net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	server := messenger.NewServer(c.credentials, c.mux, c.log.Part("fleet")).WithMaxHandshakes(c.maxHandshakes)
	group.Go(func() error { return server.Serve(ctx, fleet) })
	group.Go(func() error { return c.Publisher.Run(ctx) })
	group.Go(func() error { return c.Proposer.Run(ctx) })
	group.Go(func() error { return c.lender.Run(ctx) })
	group.Go(func() error { return c.examiner.Run(ctx) })
	group.Go(func() error { return c.subscriber.Run(ctx) })
	return group.Wait()
}
