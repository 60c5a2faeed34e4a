// Package subscriber subscribes to the directory of nodes of the other control processes, whose set may change.
package subscriber

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

// refreshPeriod is the interval at which the set of control processes is read.
const refreshPeriod = 250 * time.Millisecond

// Subscriber subscribes to each of the other control processes.
type Subscriber struct {
	region string
	others func() []string
	hub    *synchronizer.Hub
	pool   *messenger.Pool
	log    *slog.Logger
}

// New returns a Subscriber of a process in region to the processes at the addresses that others returns. It merges the
// directories that they publish into hub.
func New(region string, others func() []string, hub *synchronizer.Hub, pool *messenger.Pool, log *slog.Logger) *Subscriber {
	return &Subscriber{region: region, others: others, hub: hub, pool: pool, log: log}
}

// Run keeps the subscriptions up to date with the set of processes until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	subscriptions := make(map[string]context.CancelFunc)
	for {
		others := s.others()
		for _, address := range others {
			if _, ok := subscriptions[address]; !ok {
				subscriptions[address] = s.subscribe(ctx, group, address)
			}
		}
		for address, stop := range subscriptions {
			if !slices.Contains(others, address) {
				stop()
				delete(subscriptions, address)
			}
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

func (s *Subscriber) subscribe(ctx context.Context, group *errgroup.Group, address string) context.CancelFunc {
	subscriptionCtx, stop := context.WithCancel(ctx)
	addresses := func() []string { return []string{address} }
	client := synchronizer.NewClient(s.pool, addresses, directorySink{s.hub}, nil, s.log).
		WithDigests(s.region, func() tracker.Digests { return s.hub.Directory().Digests() })
	group.Go(func() error { return client.Run(subscriptionCtx) })
	return stop
}

// directorySink receives only the directory and the withdrawals from other control processes. The configuration and the
// membership are replicated by the log, so the sink reports the highest possible version, and publishers never
// have a newer configuration to send.
type directorySink struct{ *synchronizer.Hub }

// Configuration implements synchronizer.Sink.
func (directorySink) Configuration() configurer.Configuration {
	return configurer.Configuration{}.WithVersion(math.MaxUint64)
}

// Install implements synchronizer.Sink.
func (directorySink) Install(configurer.Configuration) bool { return false }

// Merge implements synchronizer.Sink.
func (d directorySink) Merge(records ...tracker.Node) []tracker.Node {
	return d.MergeRelayed(records...)
}

// SetControls implements synchronizer.Sink.
func (directorySink) SetControls([]tracker.Control) {}
