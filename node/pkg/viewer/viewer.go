// Package viewer holds the node's current view of the fleet: the configuration in force, the directory, the withdrawn
// keys, and the last contacts with control processes and peers.
package viewer

import (
	"sync"
	"sync/atomic"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/fencer"
	"samphiremount.example/core/matcher"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
)

// View is an immutable snapshot of the fleet as the node sees it. Only the contacts behind Assess and ControlAge are
// always current.
type View struct {
	Configuration configurer.Configuration
	Matcher       matcher.Matcher
	Directory     tracker.Directory

	withdrawn map[string]struct{}
	fencer    *atomic.Pointer[fencer.Fencer]
}

// Withdrawn reports whether key is withdrawn, either in the configuration or by a separate withdrawal.
func (v *View) Withdrawn(key configurer.Key) bool {
	_, ok := v.withdrawn[key.ID]
	return ok || key.Withdrawn
}

// Assess returns whether the node may serve keyed requests at the time now.
func (v *View) Assess(now time.Time) fencer.Verdict {
	return v.fencer.Load().Assess(now)
}

// ControlAge returns the time since the last contact with a control process, direct or through a peer.
func (v *View) ControlAge(now time.Time) time.Duration {
	return v.fencer.Load().ContactAge(now)
}

// Viewer provides the current View without locks for readers. The contacts are kept outside the View, because they
// change every second and would require a new View each time.
type Viewer struct {
	hub *synchronizer.Hub
	// OnMerge is called with the records that a merge has changed. It may be nil, and is set before the first merge.
	OnMerge func(changed []tracker.Node)
	// OnInstall is called after each change of the configuration in force. It may be nil.
	OnInstall func()

	mu     sync.Mutex
	view   atomic.Pointer[View]
	fencer atomic.Pointer[fencer.Fencer]
}

var _ synchronizer.Sink = (*Viewer)(nil)

// New returns a Viewer of the state in hub.
func New(hub *synchronizer.Hub) *Viewer {
	viewer := &Viewer{hub: hub}
	viewer.fencer.Store(&fencer.Fencer{})
	viewer.view.Store(&View{Matcher: matcher.New(nil), fencer: &viewer.fencer})
	return viewer
}

// View returns the current View.
func (v *Viewer) View() *View {
	return v.view.Load()
}

// Configuration implements synchronizer.Sink.
func (v *Viewer) Configuration() configurer.Configuration {
	return v.View().Configuration
}

// Install implements synchronizer.Sink. It rejects a configuration that is not newer than the one in force.
func (v *Viewer) Install(configuration configurer.Configuration) bool {
	installed := v.install(configuration)
	if installed && v.OnInstall != nil {
		v.OnInstall()
	}
	return installed
}

func (v *Viewer) install(configuration configurer.Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hub.Install(configuration) {
		return false
	}
	view := *v.view.Load()
	if !configuration.SameRoutes(view.Configuration) {
		view.Matcher = matcher.New(configuration.Routes())
	}
	view.Configuration = configuration
	view.withdrawn = v.withdrawn()
	v.view.Store(&view)
	return true
}

// Merge implements synchronizer.Sink.
func (v *Viewer) Merge(records ...tracker.Node) []tracker.Node {
	changed := v.merge(records)
	if len(changed) > 0 && v.OnMerge != nil {
		v.OnMerge(changed)
	}
	return changed
}

func (v *Viewer) merge(records []tracker.Node) []tracker.Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.hub.Merge(records...)
	if len(changed) > 0 {
		view := *v.view.Load()
		view.Directory = v.hub.Directory()
		v.view.Store(&view)
	}
	return changed
}

// Withdraw implements synchronizer.Sink.
func (v *Viewer) Withdraw(ids ...string) []string {
	if len(ids) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	added := v.hub.Withdraw(ids...)
	view := *v.view.Load()
	view.withdrawn = v.withdrawn()
	v.view.Store(&view)
	return added
}

// SetControls implements synchronizer.Sink.
func (v *Viewer) SetControls(controls []tracker.Control) { v.hub.SetControls(controls) }

// RecordContact implements synchronizer.Sink.
func (v *Viewer) RecordContact(age time.Duration) {
	v.updateFencer(func(f fencer.Fencer) fencer.Fencer { return f.WithContact(timekeeper.Now().Add(-age)) })
}

// RecordProbes records the result of a probe round that started at startedAt: answered of the asked peers replied.
func (v *Viewer) RecordProbes(startedAt time.Time, asked, answered int) {
	v.updateFencer(func(f fencer.Fencer) fencer.Fencer { return f.WithProbes(startedAt, asked, answered) })
}

func (v *Viewer) updateFencer(change func(fencer.Fencer) fencer.Fencer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := change(*v.fencer.Load())
	v.fencer.Store(&next)
}

func (v *Viewer) withdrawn() map[string]struct{} {
	withdrawn := make(map[string]struct{})
	for _, id := range v.hub.Withdrawn() {
		withdrawn[id] = struct{}{}
	}
	return withdrawn
}
