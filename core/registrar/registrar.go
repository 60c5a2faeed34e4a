// Package registrar keeps the targets of one VM, as they announce themselves.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"samphiremount.example/core/tracker"
	"samphiremount.example/core/warmer"
)

const (
	// AnnouncementLifetime is the default time for which an announcement is valid. A target repeats its announcement
	// several times within it.
	AnnouncementLifetime = 3 * time.Second
	// DepartureLifetime is how long a departure is kept, so that a late announcement does not add the target again.
	DepartureLifetime = time.Minute
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
	// Cold is what the target states about a cold start. It concerns only its gate.
	Cold warmer.Statement `json:"-"`
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

// differs reports whether a and other differ in anything but the sequence and what they state about a cold start.
func (a Announcement) differs(other Announcement) bool {
	a.Sequence, a.Cold = other.Sequence, other.Cold
	return a != other
}

// Registrar is the immutable set of announced targets, and of departures. The zero value is empty.
type Registrar struct {
	lifetime   time.Duration
	entries    map[string]entry
	departures map[string]departure
}

// entry is the state of one target, valid until deadline. changedBy is the sequence of the announcement that brought the
// target into this state.
type entry struct {
	announcement Announcement
	changedBy    uint64
	deadline     time.Time
}

// departure is kept until deadline. address is that of the target, if it is known.
type departure struct {
	tracker.Departure

	address  string
	deadline time.Time
}

// New returns an empty set in which an announcement is valid for lifetime, or for AnnouncementLifetime if that is 0.
func New(lifetime time.Duration) Registrar {
	return Registrar{lifetime: lifetime}
}

// With returns the set after an announcement at now, and whether anything but the deadline changed. An announcement
// changes nothing if the set holds a newer state of the target, its departure, or a target that started later at the same
// address.
func (r Registrar) With(now time.Time, announcement Announcement) (Registrar, bool) {
	if r.supersedes(announcement) {
		return r, false
	}
	old, ok := r.entries[announcement.Name]
	changed := !ok || announcement.differs(old.announcement)
	entries := make(map[string]entry, len(r.entries)+1)
	for name, other := range r.entries {
		if name == announcement.Name || !other.announcement.replacedBy(announcement) {
			entries[name] = other
		}
	}
	next := entry{announcement: announcement, changedBy: old.changedBy, deadline: now.Add(cmp.Or(r.lifetime, AnnouncementLifetime))}
	if changed {
		next.changedBy = announcement.Sequence
	}
	entries[announcement.Name] = next
	r.entries = entries
	if announcement.Leaving && next.changedBy > 0 {
		began := tracker.Departure{Target: announcement.Name, StartedAt: announcement.StartedAt, Sequence: next.changedBy}
		r = r.withDeparture(now, began, announcement.Address)
	}
	return r, changed
}

// supersedes reports whether announcement is outdated by what the set holds.
func (r Registrar) supersedes(announcement Announcement) bool {
	if r.Departed(announcement) {
		return true
	}
	if old, ok := r.entries[announcement.Name]; ok && announcement.olderThan(old.announcement) {
		return true
	}
	for name, other := range r.entries {
		if name != announcement.Name && announcement.replacedBy(other.announcement) {
			return true
		}
	}
	for name, other := range r.departures {
		if name != announcement.Name && announcement.replacedBy(Announcement{Address: other.address, StartedAt: other.StartedAt}) {
			return true
		}
	}
	return false
}

// Departed reports whether the target had left, or had begun to leave, after it made announcement.
func (r Registrar) Departed(announcement Announcement) bool {
	departure, ok := r.departures[announcement.Name]
	return ok && departure.Outdates(announcement.StartedAt, announcement.Sequence)
}

// WithDeparture returns the set after the target called name reported its departure at now, and whether that removed a
// target from the set. If the set does not hold the target, the departure applies to every start of it before now.
func (r Registrar) WithDeparture(now time.Time, name string) (Registrar, bool) {
	left := tracker.Departure{Target: name, StartedAt: now.UnixMilli() - 1, Left: true}
	old, ok := r.entries[name]
	if ok {
		left.StartedAt = old.announcement.StartedAt
	} else if r.departures[name].Left {
		return r, false
	}
	return r.withDeparture(now, left, old.announcement.Address), ok
}

// WithDepartures returns the set after departures were received at now that this process does not remember, and whether
// that changed it.
func (r Registrar) WithDepartures(now time.Time, departures []tracker.Departure) (Registrar, bool) {
	changed := false
	for _, received := range departures {
		if known, ok := r.departures[received.Target]; !ok || !known.Includes(received) {
			r, changed = r.withDeparture(now, received, ""), true
		}
	}
	return r, changed
}

// withDeparture adds a departure, unless the set holds one that includes it, and removes the target if that outdates it.
func (r Registrar) withDeparture(now time.Time, added tracker.Departure, address string) Registrar {
	if known, ok := r.departures[added.Target]; ok && known.Includes(added) {
		added, address = known.Departure, known.address
	}
	departures := make(map[string]departure, len(r.departures)+1)
	maps.Copy(departures, r.departures)
	departures[added.Target] = departure{added, address, now.Add(DepartureLifetime)}
	r.departures = departures
	if old, ok := r.entries[added.Target]; ok && added.Outdates(old.announcement.StartedAt, old.announcement.Sequence) {
		r.entries = maps.Clone(r.entries)
		delete(r.entries, added.Target)
	}
	return r
}

// WithoutExpired returns the set without the targets and departures whose deadline has passed at now, the names of those
// targets, and whether any was removed.
func (r Registrar) WithoutExpired(now time.Time) (next Registrar, targets []string, changed bool) {
	entries := make(map[string]entry, len(r.entries))
	for name, entry := range r.entries {
		if now.After(entry.deadline) {
			targets = append(targets, name)
			continue
		}
		entries[name] = entry
	}
	departures := make(map[string]departure, len(r.departures))
	for name, departure := range r.departures {
		if !now.After(departure.deadline) {
			departures[name] = departure
		}
	}
	if len(targets) == 0 && len(departures) == len(r.departures) {
		return r, nil, false
	}
	slices.Sort(targets)
	return Registrar{r.lifetime, entries, departures}, targets, true
}

// Announcement returns the last announcement of the target called name, or false if the target is unknown or departed.
func (r Registrar) Announcement(name string) (Announcement, bool) {
	entry, ok := r.entries[name]
	return entry.announcement, ok
}

// Targets returns the targets that have not departed, sorted by name.
func (r Registrar) Targets() []tracker.Target {
	targets := make([]tracker.Target, 0, len(r.entries))
	for _, entry := range r.entries {
		a := entry.announcement
		targets = append(targets, tracker.Target{
			Name: a.Name, Service: a.Service, Slots: a.Slots, Leaving: a.Leaving, StartedAt: a.StartedAt, Sequence: entry.changedBy,
		})
	}
	slices.SortFunc(targets, func(a, b tracker.Target) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

// Departure returns the departure of the target called name, or false if there is none.
func (r Registrar) Departure(name string) (tracker.Departure, bool) {
	departure, ok := r.departures[name]
	return departure.Departure, ok
}

// Departures returns the departures that other processes are to know, sorted by target: the last ones, if there are more
// than tracker.MaxDepartures.
func (r Registrar) Departures() []tracker.Departure {
	kept := slices.SortedFunc(maps.Values(r.departures), func(a, b departure) int {
		return cmp.Or(b.deadline.Compare(a.deadline), strings.Compare(a.Target, b.Target))
	})
	departures := make([]tracker.Departure, 0, len(kept))
	for _, departure := range kept[:min(len(kept), tracker.MaxDepartures)] {
		departures = append(departures, departure.Departure)
	}
	slices.SortFunc(departures, func(a, b tracker.Departure) int { return strings.Compare(a.Target, b.Target) })
	return departures
}
