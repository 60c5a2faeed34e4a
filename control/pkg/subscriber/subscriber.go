// Package subscriber takes the directory of nodes from the other control processes, whoever they are at the time.
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

// refreshPeriod is how often the set of control processes is looked at.
const refreshPeriod = 250 * time.Millisecond

// Subscriber subscribes to each of the other control processes.
type Subscriber struct {
	others func() []string
	hub    *synchronizer.Hub
	pool   *messenger.Pool
	log    *slog.Logger
}

// New returns a Follower of the processes at the addresses that others returns. It merges what they say into hub.
func New(others func() []string, hub *synchronizer.Hub, pool *messenger.Pool, log *slog.Logger) *Subscriber {
	return &Subscriber{others: others, hub: hub, pool: pool, log: log}
}

// Run follows until ctx ends.
func (f *Subscriber) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	followed := make(map[string]context.CancelFunc)
	for {
		others := f.others()
		for _, address := range others {
			if _, ok := followed[address]; !ok {
				followed[address] = f.subscribe(ctx, group, address)
			}
		}
		for address, stop := range followed {
			if !slices.Contains(others, address) {
				stop()
				delete(followed, address)
			}
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

func (f *Subscriber) subscribe(ctx context.Context, group *errgroup.Group, address string) context.CancelFunc {
	following, stop := context.WithCancel(ctx)
	addresses := func() []string { return []string{address} }
	client := synchronizer.NewClient(f.pool, addresses, directorySink{f.hub}, nil, f.log)
	group.Go(func() error { return client.Run(following) })
	return stop
}

// directorySink takes the directory from other control processes. Their configuration and membership come by the log
// alone, so that the sink reports the highest version, after which a publisher has nothing to send.
type directorySink struct{ *synchronizer.Hub }

// Configuration implements synchronizer.Sink.
func (directorySink) Configuration() configurer.Configuration {
	return configurer.Configuration{}.WithVersion(math.MaxUint64)
}

// Install implements synchronizer.Sink.
func (directorySink) Install(configurer.Configuration) bool { return false }

// SetControls implements synchronizer.Sink.
func (directorySink) SetControls([]tracker.Control) {}
