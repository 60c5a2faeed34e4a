package starter

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crashesInterval is the time between two questions, and serviceInterval between two looks for a new service.
	crashesInterval = 100 * time.Millisecond
	serviceInterval = time.Second
	// crashesPeriod is how long after the first target of a service the other gates of the service are asked. In a fleet that
	// starts they become known only then.
	crashesPeriod = 5 * time.Second
	// maxCrashesGates is the number of gates that are asked, one after another. Some of them may have restarted too.
	maxCrashesGates = 3
)

// crashesQuery is the state of asking the gates of one service. answered holds the addresses of those that have answered.
type crashesQuery struct {
	until    time.Time
	answered []string
}

// learnCrashes reads which contents crash targets from other gates of each service of this VM's targets, because a gate forgets
// them when it restarts.
func (n *Node) learnCrashes(ctx context.Context) error {
	queries := make(map[string]crashesQuery)
	pause := crashesInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-time.After(pause):
			pause = n.continueQueries(ctx, now, queries)
		}
	}
}

// continueQueries asks one gate of each service of which not enough have answered, and returns how long to wait until the next
// time.
func (n *Node) continueQueries(ctx context.Context, now time.Time, queries map[string]crashesQuery) time.Duration {
	pause := serviceInterval
	targets := n.reporter.Node().Targets
	if len(targets) == 0 && len(queries) == 0 {
		pause = crashesInterval
	}
	for _, target := range targets {
		query, ok := queries[target.Service]
		if !ok {
			query.until = now.Add(crashesPeriod)
		}
		if now.Before(query.until) && len(query.answered) < maxCrashesGates {
			query.answered = n.askForCrashes(ctx, target.Service, query.answered)
			pause = crashesInterval
		}
		queries[target.Service] = query
	}
	return pause
}

// askForCrashes asks one gate of service that has not answered, and returns those that have.
func (n *Node) askForCrashes(ctx context.Context, service string, answered []string) []string {
	addresses := slices.DeleteFunc(n.otherGates(service), func(address string) bool { return slices.Contains(answered, address) })
	if len(addresses) == 0 {
		return answered
	}
	address := addresses[rand.IntN(len(addresses))]
	crashes, err := n.client.Crashes(ctx, address)
	if err != nil {
		n.log.Part("gate").Warn("crashes not learned", "address", address, "reason", err.Error())
		return answered
	}
	for _, crash := range crashes {
		n.gate.RecordCrash(crash)
	}
	n.log.Part("gate").Info("crashes learned", "address", address, "service", service, "number", len(crashes))
	return append(answered, address)
}
