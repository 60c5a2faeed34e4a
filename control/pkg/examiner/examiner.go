// Package examiner runs the outlier detection of one control process: it collects evidence about targets, requests the
// lease from the other control processes, and decides on ejections while it holds the lease.
package examiner

import (
	"context"
	"expvar"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/collector"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/coordinator"
	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/elector"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/ticker"
	"samphiremount.example/core/timekeeper"
)

const (
	callRequestLease = "judge"

	roundPeriod = 500 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	// maxCandidacyBackoff bounds the random backoff after a candidacy without a majority.
	maxCandidacyBackoff = 3 * time.Second
	// keptLogInterval is the minimum time between two log lines about a suspect that is kept in use because of the floor.
	keptLogInterval = 30 * time.Second
)

var counters = expvar.NewMap("eject")

// Source returns the configuration in force.
type Source interface {
	Configuration() configurer.Configuration
}

// Examiner runs the outlier detection of one control process. peers holds the addresses of the other control processes
// as of the last reset. keptLoggedAt holds, by target, when a suspect kept at the floor was last logged.
type Examiner struct {
	name          string
	method        detector.Method
	pool          *messenger.Pool
	addresses     func() []string
	configuration Source
	log           *slog.Logger

	mu           sync.Mutex
	peers        []string
	coordinator  *coordinator.Coordinator
	holdsLease   bool
	keptLoggedAt map[string]time.Time
}

var _ collector.Coordinator = (*Examiner)(nil)

// New returns the Examiner of the process called name. peers returns the addresses of the other control processes.
func New(
	name string, peers func() []string, method detector.Method, configuration Source, pool *messenger.Pool, log *slog.Logger,
) *Examiner {
	e := &Examiner{
		name: name, method: method, pool: pool, addresses: peers, configuration: configuration, log: log,
		keptLoggedAt: make(map[string]time.Time),
	}
	e.reset(peers())
	return e
}

// reset starts again with peers. As after a restart, the process votes for no candidate until its earlier vote must have
// expired, so that majorities of two sets of peers never hold the lease at the same time.
func (e *Examiner) reset(peers []string) {
	now := timekeeper.Now()
	e.peers = peers
	e.coordinator = coordinator.New(now, e.name, peers, e.method, uint64(now.UnixNano()))
	e.coordinator.StepDown(now, now.Add(elector.VoteLifetime+rand.N(elector.VoteLifetime/2)))
}

// updatePeers resets the state if the set of peers has changed.
func (e *Examiner) updatePeers() {
	peers := slices.Sorted(slices.Values(e.addresses()))
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Equal(peers, e.peers) {
		return
	}
	e.log.Info("outlier detection restarted", "peers", len(peers), "reason", "the control processes changed")
	e.reset(peers)
}

// Register adds the handlers of calls from nodes and from other control processes to mux.
func (e *Examiner) Register(mux messenger.Mux) {
	collector.Register(mux, e)
	mux[callRequestLease] = func(stream drpc.Stream) error {
		var request coordinator.Request
		if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive lease request")
		}
		e.mu.Lock()
		reply := e.coordinator.HandleRequest(timekeeper.Now(), request)
		e.mu.Unlock()
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send reply")
	}
}

// Observe implements collector.Coordinator.
func (e *Examiner) Observe(digests []observer.Digest) ([]ejector.Ejection, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinator.Observe(timekeeper.Now(), digests)
}

// Run runs a round each roundPeriod until ctx ends.
func (e *Examiner) Run(ctx context.Context) error {
	ticker.Every(ctx, roundPeriod, func(time.Time) {
		e.updatePeers()
		e.requestLease(ctx)
		e.runRound()
	})
	return nil
}

// requestLease requests the votes and the evidence of all peers in parallel, if this process holds the lease or may
// become its holder. If it does not hold the lease afterwards, it backs off for a random time.
func (e *Examiner) requestLease(ctx context.Context) {
	e.mu.Lock()
	candidate := e.coordinator.ShouldRequest(timekeeper.Now())
	peers := e.peers
	e.mu.Unlock()
	if !candidate {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	for _, peer := range peers {
		group.Go(func() error {
			if err := e.requestLeaseFrom(ctx, peer); err != nil {
				e.log.Debug("peer did not answer", "address", peer, "reason", err)
			}
			return nil
		})
	}
	_ = group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := timekeeper.Now(); !e.coordinator.Holds(now) {
		e.coordinator.StepDown(now, now.Add(rand.N(maxCandidacyBackoff)))
	}
}

func (e *Examiner) requestLeaseFrom(ctx context.Context, peer string) error {
	e.mu.Lock()
	requestedAt := timekeeper.Now()
	request := e.coordinator.Request(requestedAt, peer)
	e.mu.Unlock()
	var reply coordinator.Reply
	if err := e.pool.Get(ctx, peer).Invoke(ctx, callRequestLease, messenger.Encoding{}, &request, &reply); err != nil {
		return errors.Wrap(err, "request lease")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coordinator.HandleReply(peer, requestedAt, reply)
	return nil
}

func (e *Examiner) runRound() {
	configuration := e.configuration.Configuration()
	floor := func(name string, present int) int {
		service, ok := configuration.Service(name)
		if !ok {
			// The floor of an unknown service is not known either, so no ejection is allowed.
			return math.MaxInt32
		}
		return service.FloorSlots(present)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := timekeeper.Now()
	for _, decision := range e.coordinator.RunRound(now, floor) {
		e.recordDecision(now, decision)
	}
	if holds := e.coordinator.Holds(now); holds != e.holdsLease {
		e.holdsLease = holds
		e.log.Info("lease on ejections changed", "held", holds)
	}
}

func (e *Examiner) recordDecision(now time.Time, decision coordinator.Decision) {
	switch step := decision.Decision.(type) {
	case ejector.Ejected:
		counters.Add("ejected", 1)
		e.log.Info("target ejected", "service", decision.Service, "target", step.Target, "reason", step.Reason)
	case ejector.Returned:
		counters.Add("returned", 1)
		e.log.Info("target returned", "service", decision.Service, "target", step.Target, "reason", step.Reason)
	case ejector.TrialStarted:
		counters.Add("tried", 1)
		e.log.Info("target on trial", "service", decision.Service, "target", step.Target, "reason", "its ejection time has passed")
	case ejector.Kept:
		counters.Add("kept", 1)
		if now.Sub(e.keptLoggedAt[step.Target]) < keptLogInterval {
			return
		}
		e.keptLoggedAt[step.Target] = now
		e.log.Warn("target kept at the floor", "service", decision.Service, "target", step.Target, "reason", step.Reason)
	}
}
