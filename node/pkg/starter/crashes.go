package starter

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"samphiremount.example/core/ticker"
)

const (
	crashesInterval = 100 * time.Millisecond
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
	ticker.Every(ctx, crashesInterval, func(now time.Time) {
		for _, target := range n.reporter.Node().Targets {
			query, ok := queries[target.Service]
			if !ok {
				query.until = now.Add(crashesPeriod)
			}
			if now.Before(query.until) && len(query.answered) < maxCrashesGates {
				query.answered = n.askForCrashes(ctx, target.Service, query.answered)
			}
			queries[target.Service] = query
		}
	})
	return nil
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
