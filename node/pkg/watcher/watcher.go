// Package watcher records what a node sees of targets, reports it to control and keeps the list of ejections.
package watcher

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"time"

	"samphiremount.example/core/collector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/ticker"
	"samphiremount.example/core/tracker"
)

const (
	reportInterval = time.Second
	callTimeout    = 500 * time.Millisecond
)

var counters = expvar.NewMap("eject")

// Watcher collects the node's evidence about targets and holds the list of ejections that control sends back.
type Watcher struct {
	pool     *messenger.Pool
	controls func() []string
	targets  func() []tracker.Target
	log      *slog.Logger

	mu          sync.Mutex
	recorder    *observer.Recorder
	unreachable map[string]observer.Digest
	byService   map[string][]ejector.Ejection
	byTarget    map[string]ejector.Ejection
	deadline    time.Time
}

// New returns a Watcher. It reports to one of the addresses that controls returns, and to the next one after a
// failure. The targets function returns the targets on this VM.
func New(pool *messenger.Pool, controls func() []string, targets func() []tracker.Target, log *slog.Logger) *Watcher {
	return &Watcher{
		pool: pool, controls: controls, targets: targets, log: log,
		recorder: observer.NewRecorder(), unreachable: make(map[string]observer.Digest),
	}
}

// Start records the start of a request to a target of this VM. The returned function records its result.
func (w *Watcher) Start(target, service string) func(observer.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := w.recorder.Start(time.Now(), target, service)
	return func(result observer.Result) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.recorder.End(time.Now(), number, result)
	}
}

// RecordUnreachable records that this node could not reach the gate of a target. It counts at most once in each
// report, so that a node that can reach no gate does not outweigh the others.
func (w *Watcher) RecordUnreachable(target, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable[target] = observer.Digest{Target: target, Service: service, Attempts: 1, Unreached: 1}
}

// Ejections returns the ejected targets of service, or none after the deadline of the list.
func (w *Watcher) Ejections(service string) []ejector.Ejection {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().Before(w.deadline) {
		return nil
	}
	return w.byService[service]
}

// Run sends a report every second until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	current := 0
	ticker.Every(ctx, reportInterval, func(time.Time) {
		controls := w.controls()
		if len(controls) == 0 {
			return
		}
		address := controls[current%len(controls)]
		if err := w.report(ctx, address); err != nil && ctx.Err() == nil {
			w.log.Warn("evidence not delivered", "address", address, "reason", err.Error())
			current++
		}
	})
	return nil
}

func (w *Watcher) report(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ejections, deadline, err := collector.Report(ctx, w.pool, address, w.digests())
	if err != nil {
		counters.Add("undelivered", 1)
		return err
	}
	w.setEjections(ejections, deadline)
	return nil
}

func (w *Watcher) digests() []observer.Digest {
	targets := w.targets()
	w.mu.Lock()
	defer w.mu.Unlock()
	byTarget := make(map[string]observer.Digest)
	for _, digest := range w.recorder.Take(time.Now()) {
		byTarget[digest.Target] = digest
	}
	digests := make([]observer.Digest, 0, len(targets)+len(w.unreachable))
	for _, target := range targets {
		digest := byTarget[target.Name]
		digest.Target, digest.Service = target.Name, target.Service
		digest.Slots, digest.Leaving = target.Slots, target.Leaving
		digests = append(digests, digest)
	}
	for _, digest := range w.unreachable {
		digests = append(digests, digest)
	}
	clear(w.unreachable)
	return digests
}

func (w *Watcher) setEjections(ejections []ejector.Ejection, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTarget := make(map[string]ejector.Ejection, len(ejections))
	byService := make(map[string][]ejector.Ejection)
	for _, ejection := range ejections {
		byTarget[ejection.Target] = ejection
		byService[ejection.Service] = append(byService[ejection.Service], ejection)
		if old, ok := w.byTarget[ejection.Target]; !ok || old.Phase != ejection.Phase {
			w.log.Info("target not used", "target", ejection.Target, "service", ejection.Service,
				"trial", ejection.Phase == ejector.Trial, "reason", ejection.Reason)
		}
	}
	for name, ejection := range w.byTarget {
		if _, ok := byTarget[name]; !ok {
			w.log.Info("target used again", "target", name, "service", ejection.Service, "reason", "it is no longer on the list")
		}
	}
	w.byService, w.byTarget, w.deadline = byService, byTarget, deadline
}
