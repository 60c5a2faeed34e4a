// Package counter counts what is in progress and tells what began first.
package counter

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxOldest bounds the entries that Active lists.
const maxOldest = 3

// Counter counts entries that have begun and not ended, such as requests. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	entries map[*Entry]struct{}
}

// Entry is something in progress.
type Entry struct {
	counter *Counter
	began   time.Time
	id      string
}

// New returns a Counter without entries.
func New() *Counter {
	return &Counter{entries: make(map[*Entry]struct{})}
}

// Begin adds an entry that began at now. The id may be empty until it is known.
func (c *Counter) Begin(now time.Time, id string) *Entry {
	entry := &Entry{counter: c, began: now, id: id}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[entry] = struct{}{}
	return entry
}

// Name sets the id of the entry.
func (e *Entry) Name(id string) {
	e.counter.mu.Lock()
	defer e.counter.mu.Unlock()
	e.id = id
}

// End removes the entry.
func (e *Entry) End() {
	e.counter.mu.Lock()
	defer e.counter.mu.Unlock()
	delete(e.counter.entries, e)
}

// Contains reports whether an entry with that id is in progress.
func (c *Counter) Contains(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for entry := range c.entries {
		if entry.id == id {
			return true
		}
	}
	return false
}

// Active returns the entries in progress at now.
func (c *Counter) Active(now time.Time) Active {
	c.mu.Lock()
	active := Active{Number: len(c.entries), Oldest: make([]Aged, 0, len(c.entries))}
	for entry := range c.entries {
		active.Oldest = append(active.Oldest, Aged{ID: entry.id, Age: now.Sub(entry.began)})
	}
	c.mu.Unlock()
	slices.SortFunc(active.Oldest, func(a, b Aged) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	active.Oldest = slices.Clip(active.Oldest[:min(len(active.Oldest), maxOldest)])
	return active
}

// Active is what a Counter counts at one moment: the number of entries, and those that began first.
type Active struct {
	Number int
	Oldest []Aged
}

// Aged is an entry and how long ago it began.
type Aged struct {
	ID  string
	Age time.Duration
}

// String returns the ids of the oldest entries with their ages.
func (a Active) String() string {
	texts := make([]string, 0, len(a.Oldest))
	for _, entry := range a.Oldest {
		texts = append(texts, fmt.Sprintf("%s %s", cmp.Or(entry.ID, "unnamed"), entry.Age.Round(time.Millisecond)))
	}
	return strings.Join(texts, ", ")
}

type contextKey struct{}

// WithEntry returns a context that carries entry.
func WithEntry(ctx context.Context, entry *Entry) context.Context {
	return context.WithValue(ctx, contextKey{}, entry)
}

// Name sets the id of the entry that ctx carries, if there is one.
func Name(ctx context.Context, id string) {
	if entry, ok := ctx.Value(contextKey{}).(*Entry); ok {
		entry.Name(id)
	}
}
