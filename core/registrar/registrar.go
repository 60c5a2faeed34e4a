// Package registrar keeps the targets of one VM, as they announce themselves.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// AnnouncementLifetime is the default time for which an announcement is valid. A target repeats its announcement
	// several times within it.
	AnnouncementLifetime = 3 * time.Second
	// departureLifetime is how long a departure is kept, so that a late announcement does not add the target again.
	departureLifetime = time.Minute
)

// Announcement is the message with which a target registers itself. Address is the IP address and port of its HTTP
// listener. StartedAt is the start time of the target in milliseconds since 1970 and orders the starts of targets. Sequence
// orders the announcements of one start. Both may be 0 if the target does not state them.
type Announcement struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Address   string `json:"address"`
	Slots     int    `json:"slots"`
	Leaving   bool   `json:"leaving"`
	StartedAt int64  `json:"born"`
	Sequence  uint64 `json:"sequence"`
}

// olderThan reports whether a was made before other.
func (a Announcement) olderThan(other Announcement) bool {
	if a.StartedAt != other.StartedAt {
		return a.StartedAt < other.StartedAt
	}
	return a.Sequence < other.Sequence
}

// replacedBy reports whether other comes from a target that started later at the same address.
func (a Announcement) replacedBy(other Announcement) bool {
	return a.Address == other.Address && a.StartedAt < other.StartedAt
}

// differs reports whether a and other differ in anything but the sequence.
func (a Announcement) differs(other Announcement) bool {
	a.Sequence = other.Sequence
	return a != other
}

// Registrar is the immutable set of announced targets. The zero value is empty.
type Registrar struct {
	lifetime time.Duration
	entries  map[string]entry
}

// entry is the state of one target, valid until deadline. departed is set if the target has left. neverAnnounced is set
// if it left before any announcement of it arrived. In that case only a bound on its start time is known: it is before
// announcement.StartedAt.
type entry struct {
	announcement   Announcement
	deadline       time.Time
	departed       bool
	neverAnnounced bool
}

// supersedes reports whether announcement, which is of the same target, is outdated by e.
func (e entry) supersedes(announcement Announcement) bool {
	if e.neverAnnounced {
		return announcement.StartedAt < e.announcement.StartedAt
	}
	return announcement.olderThan(e.announcement) || e.departed && announcement.StartedAt == e.announcement.StartedAt
}

// New returns an empty set in which an announcement is valid for lifetime, or for AnnouncementLifetime if that is 0.
func New(lifetime time.Duration) Registrar {
	return Registrar{lifetime: lifetime}
}

// With returns the set after an announcement at now, and whether anything but the deadline changed. An announcement
// changes nothing if the set holds a newer state of the target or a target that started later at the same address.
func (r Registrar) With(now time.Time, announcement Announcement) (Registrar, bool) {
	if r.supersedes(announcement) {
		return r, false
	}
	old, ok := r.entries[announcement.Name]
	entries := make(map[string]entry, len(r.entries)+1)
	for name, other := range r.entries {
		if name == announcement.Name || !other.announcement.replacedBy(announcement) {
			entries[name] = other
		}
	}
	entries[announcement.Name] = entry{announcement: announcement, deadline: now.Add(cmp.Or(r.lifetime, AnnouncementLifetime))}
	return Registrar{r.lifetime, entries}, !ok || old.departed || announcement.differs(old.announcement)
}

// supersedes reports whether announcement is outdated by what the set holds.
func (r Registrar) supersedes(announcement Announcement) bool {
	old, ok := r.entries[announcement.Name]
	if ok && old.supersedes(announcement) {
		return true
	}
	for name, other := range r.entries {
		if name != announcement.Name && announcement.replacedBy(other.announcement) {
			return true
		}
	}
	return false
}

// WithDeparture returns the set after the target called name reported its departure at now, and whether that removed a
// target from the set. If the set does not hold the target, the departure applies to every start of it before now.
func (r Registrar) WithDeparture(now time.Time, name string) (Registrar, bool) {
	old, ok := r.entries[name]
	if old.departed {
		return r, false
	}
	departed := entry{announcement: old.announcement, deadline: now.Add(departureLifetime), departed: true}
	if !ok {
		departed.announcement = Announcement{Name: name, StartedAt: now.UnixMilli()}
		departed.neverAnnounced = true
	}
	entries := make(map[string]entry, len(r.entries)+1)
	maps.Copy(entries, r.entries)
	entries[name] = departed
	return Registrar{r.lifetime, entries}, ok
}

// WithoutExpired returns the set without the targets whose deadline has passed at now, and the names of those targets.
// They include targets that departed more than departureLifetime ago.
func (r Registrar) WithoutExpired(now time.Time) (Registrar, []string) {
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
	return Registrar{r.lifetime, entries}, expired
}

// Announcement returns the last announcement of the target called name, or false if the target is unknown or departed.
func (r Registrar) Announcement(name string) (Announcement, bool) {
	entry, ok := r.entries[name]
	return entry.announcement, ok && !entry.departed
}

// Announcements returns the last announcements of all targets that have not departed, sorted by name.
func (r Registrar) Announcements() []Announcement {
	all := make([]Announcement, 0, len(r.entries))
	for _, entry := range r.entries {
		if !entry.departed {
			all = append(all, entry.announcement)
		}
	}
	slices.SortFunc(all, func(a, b Announcement) int { return strings.Compare(a.Name, b.Name) })
	return all
}
