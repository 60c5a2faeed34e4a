// Package registrar keeps the targets of one VM by what they announce.
package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Lifetime is how long an announcement counts. A target repeats it several times within that span.
const Lifetime = 3 * time.Second

// Announcement is what a target says of itself. Address is the IP address and port of its HTTP listener.
type Announcement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// Registrar is the immutable set of announced targets. The zero value is empty.
type Registrar struct {
	entries map[string]entry
}

type entry struct {
	announcement Announcement
	deadline     time.Time
}

// With returns the set after an announcement at now, and whether anything but the deadline changed.
func (r Registrar) With(now time.Time, announcement Announcement) (Registrar, bool) {
	old, ok := r.entries[announcement.Name]
	entries := maps.Clone(r.entries)
	if entries == nil {
		entries = make(map[string]entry)
	}
	entries[announcement.Name] = entry{announcement, now.Add(Lifetime)}
	return Registrar{entries}, !ok || old.announcement != announcement
}

// Without returns the set without the targets whose deadline has passed at now, and the names of those.
func (r Registrar) Without(now time.Time) (Registrar, []string) {
	var expired []string
	for name, entry := range r.entries {
		if now.After(entry.deadline) {
			expired = append(expired, name)
		}
	}
	if len(expired) == 0 {
		return r, nil
	}
	slices.Sort(expired)
	entries := maps.Clone(r.entries)
	for _, name := range expired {
		delete(entries, name)
	}
	return Registrar{entries}, expired
}

// Announcement returns the last announcement of the target called name.
func (r Registrar) Announcement(name string) (Announcement, bool) {
	entry, ok := r.entries[name]
	return entry.announcement, ok
}

// Announcements returns all announcements, sorted by name.
func (r Registrar) Announcements() []Announcement {
	all := make([]Announcement, 0, len(r.entries))
	for _, entry := range r.entries {
		all = append(all, entry.announcement)
	}
	slices.SortFunc(all, func(a, b Announcement) int { return strings.Compare(a.Name, b.Name) })
	return all
}
