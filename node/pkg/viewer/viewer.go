// Package viewer holds what a node currently sees of the fleet: the configuration in force and the directory.
package viewer

import (
	"sync"
	"sync/atomic"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/matcher"
	"samphiremount.example/core/tracker"
)

// View is one immutable state of the fleet as a node sees it.
type View struct {
	Configuration configurer.Configuration
	Matcher       matcher.Matcher
	Directory     tracker.Directory
}

// Viewer hands out the newest View without locking its readers.
type Viewer struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// New returns a Viewer of an empty fleet.
func New() *Viewer {
	viewer := &Viewer{}
	viewer.view.Store(&View{Matcher: matcher.New(nil)})
	return viewer
}

// View returns the newest state.
func (v *Viewer) View() *View {
	return v.view.Load()
}

// Configuration returns the configuration in force.
func (v *Viewer) Configuration() configurer.Configuration {
	return v.View().Configuration
}

// Install puts configuration in force if it is newer than the one in force, and reports whether it was.
func (v *Viewer) Install(configuration configurer.Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := *v.view.Load()
	if configuration.Version() <= view.Configuration.Version() {
		return false
	}
	view.Configuration = configuration
	view.Matcher = matcher.New(configuration.Routes())
	v.view.Store(&view)
	return true
}

// Merge takes newer records into the directory and returns those that were newer.
func (v *Viewer) Merge(records ...tracker.Node) []tracker.Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := *v.view.Load()
	directory, changed := view.Directory.With(records...)
	view.Directory = directory
	v.view.Store(&view)
	return changed
}
