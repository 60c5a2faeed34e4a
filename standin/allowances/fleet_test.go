// Package allowances_test measures how workspaces' rates are kept: the real lenders and drawers run in virtual time on a
// network of four data centres in two regions.
package allowances_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/borrower"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/lender"
	"samphiremount.example/node/pkg/limiter"
)

const (
	centres = 4
	nodes   = 16
	regions = 2

	localDelay       = 250 * time.Microsecond
	interCentreDelay = 500 * time.Microsecond
	interRegionDelay = 20 * time.Millisecond
)

// rateLimiter is a way to keep the rate, as one node sees it.
type rateLimiter interface {
	Acquire(ctx context.Context, workspace string, end time.Time) (string, error)
}

// network delays messages between data centres, drops those between regions while they are cut, and counts.
type network struct {
	partitioned atomic.Bool
	// dropReplies loses every third reply, after the lender has acted on the message.
	dropReplies atomic.Bool
	messages    atomic.Int64
	reports     atomic.Int64
	crossRegion atomic.Int64

	mu      sync.Mutex
	lenders map[string]*lender.Lender
}

func regionOf(centre int) int { return centre * regions / centres }

func delay(from, to int) time.Duration {
	switch {
	case from == to:
		return localDelay
	case regionOf(from) == regionOf(to):
		return interCentreDelay
	default:
		return interRegionDelay
	}
}

// transmit waits for the way of one message. It fails when ctx ends, as it does for a message that a cut drops.
func (n *network) transmit(ctx context.Context, from, to int) error {
	if regionOf(from) != regionOf(to) {
		n.crossRegion.Add(1)
		if n.partitioned.Load() {
			<-ctx.Done()
			return errors.Wrap(ctx.Err(), "cut")
		}
	}
	select {
	case <-time.After(delay(from, to)):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "travel")
	}
}

// endpoint is the network as a process in a data centre sees it. Addresses of lenders are names of data centres.
type endpoint struct {
	*network

	centre int
}

var lenderNames = []string{"control0", "control1", "control2", "control3"}

// Borrow implements the Borrower of drawers and lenders.
func (p endpoint) Borrow(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	to := int(address[len(address)-1] - '0')
	p.messages.Add(1)
	p.reports.Add(int64(len(message.Reports)))
	if err := p.transmit(ctx, p.centre, to); err != nil {
		return borrower.Reply{}, err
	}
	p.mu.Lock()
	found := p.lenders[address]
	p.mu.Unlock()
	if found == nil {
		return borrower.Reply{}, errors.New("connection refused")
	}
	reply := found.Borrow(ctx, message)
	if p.dropReplies.Load() && p.messages.Load()%3 == 0 {
		<-ctx.Done()
		return borrower.Reply{}, errors.Wrap(ctx.Err(), "reply lost")
	}
	return reply, p.transmit(ctx, to, p.centre)
}

type fixedConfiguration struct{ configuration configurer.Configuration }

func (f fixedConfiguration) Configuration() configurer.Configuration { return f.configuration }

// fleet runs lenders and nodes until ctx ends.
type fleet struct {
	*network

	ctx           context.Context
	group         errgroup.Group
	configuration configurer.Configuration
	stops         map[string]context.CancelFunc
}

func newFleet(ctx context.Context, configuration configurer.Configuration) *fleet {
	f := &fleet{
		network: &network{lenders: make(map[string]*lender.Lender)}, ctx: ctx, configuration: configuration,
		stops: make(map[string]context.CancelFunc),
	}
	for centre := range centres {
		f.startLender(centre)
	}
	return f
}

// otherLenders returns the other centres' names, those of the own region first.
func otherLenders(centre int) []string {
	var near, far []string
	for other, name := range lenderNames {
		switch {
		case other == centre:
		case regionOf(other) == regionOf(centre):
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	return append(near, far...)
}

func (f *fleet) startLender(centre int) {
	ctx, stop := context.WithCancel(f.ctx)
	started := lender.New(time.Now(), lender.Dependencies{
		Name: lenderNames[centre], Lenders: func() []string { return lenderNames }, Peers: func() []string { return otherLenders(centre) },
		Configuration: fixedConfiguration{f.configuration},
		Borrower:      endpoint{f.network, centre}, Log: slog.New(slog.DiscardHandler),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lenders[lenderNames[centre]] = started
	f.stops[lenderNames[centre]] = stop
	f.group.Go(func() error { return started.Run(ctx) })
}

func (f *fleet) killLender(centre int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lenders, lenderNames[centre])
	f.stops[lenderNames[centre]]()
}

// startNode returns a node's drawer. A node that is replaced is not stopped: its leases stay out until they end.
func (f *fleet) startNode(centre int) rateLimiter {
	addresses := append([]string{lenderNames[centre]}, otherLenders(centre)...)
	sources := limiter.Sources{Lenders: func(string) []string { return addresses }}
	started := limiter.New(endpoint{f.network, centre}, sources, slog.New(slog.DiscardHandler))
	f.group.Go(func() error { return started.Run(f.ctx) })
	return started
}
