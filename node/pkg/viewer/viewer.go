// Package viewer holds what a node currently sees of the fleet: the configuration in force, the directory, the keys
// withdrawn, and whom the node has heard.
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

// View is one immutable state of the fleet as a node sees it.
type View struct {
	Configuration configurer.Configuration
	Matcher       matcher.Matcher
	Directory     tracker.Directory

	withdrawn map[string]struct{}
	fencer    *atomic.Pointer[fencer.Fencer]
}

// Withdrawn reports whether the key is withdrawn, by the configuration or outside it.
func (v *View) Withdrawn(key configurer.Key) bool {
	_, ok := v.withdrawn[key.ID]
	return ok || key.Withdrawn
}

// Assess returns whether the node may serve keyed requests at now.
func (v *View) Assess(now time.Time) fencer.Verdict {
	return v.fencer.Load().Assess(now)
}

// ControlAge returns how long ago a control process was heard, directly or by a peer.
func (v *View) ControlAge(now time.Time) time.Duration {
	return v.fencer.Load().ContactAge(now)
}

// Viewer hands out the newest View without locking its readers. Contacts change each second and stand apart, so that
// a View changes only with what it shows.
type Viewer struct {
	hub    *synchronizer.Hub
	mu     sync.Mutex
	view   atomic.Pointer[View]
	fencer atomic.Pointer[fencer.Fencer]
}

var _ synchronizer.Sink = (*Viewer)(nil)

// New returns a Viewer of what hub holds.
func New(hub *synchronizer.Hub) *Viewer {
	viewer := &Viewer{hub: hub}
	viewer.fencer.Store(&fencer.Fencer{})
	viewer.view.Store(&View{Matcher: matcher.New(nil), fencer: &viewer.fencer})
	return viewer
}

// View returns the newest state.
func (v *Viewer) View() *View {
	return v.view.Load()
}

// Configuration implements synchronizer.Sink.
func (v *Viewer) Configuration() configurer.Configuration {
	return v.View().Configuration
}

// Install implements synchronizer.Sink. An older configuration is never taken.
func (v *Viewer) Install(configuration configurer.Configuration) bool {
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
	v.updateFencer(func(a fencer.Fencer) fencer.Fencer { return a.WithContact(timekeeper.Now().Add(-age)) })
}

// RecordProbes tells of a round of probes: asked peers, of which heard answered.
func (v *Viewer) RecordProbes(began time.Time, asked, heard int) {
	v.updateFencer(func(a fencer.Fencer) fencer.Fencer { return a.WithProbes(began, asked, heard) })
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
