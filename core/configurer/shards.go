package configurer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// shardCount bounds what one change copies: with 81,000 workspaces a shard holds some 320 of them.
const shardCount = 256

// named is an object that shards can hold.
type named interface {
	identity() string
}

func (w Workspace) identity() string { return w.Name }
func (k Key) identity() string       { return k.ID }
func (r Route) identity() string     { return r.Name }
func (s Service) identity() string   { return s.Name }
func (d Document) identity() string  { return d.Name }

// versioned is an object with the version that changed it last.
type versioned[V named] struct {
	value    V
	revision uint64
}

// shards is an immutable set of objects by name, spread over sorted slices, which take half of the memory of maps. An
// edit copies only the shards that it writes to, so that a change of one object costs the same at every size. The zero
// value is empty.
type shards[V named] struct {
	parts *[shardCount][]versioned[V]
}

// editor collects writes to a copy of shards.
type editor[V named] struct {
	base  shards[V]
	parts [shardCount][]versioned[V]
	owned [shardCount]bool
}

func shardOf(name string) int {
	return int(xxhash.Sum64String(name) % shardCount)
}

func search[V named](part []versioned[V], name string) (int, bool) {
	return slices.BinarySearchFunc(part, name, func(object versioned[V], name string) int {
		return strings.Compare(object.value.identity(), name)
	})
}

func lookUp[V named](part []versioned[V], name string) (versioned[V], bool) {
	if i, ok := search(part, name); ok {
		return part[i], true
	}
	return versioned[V]{}, false
}

func (s shards[V]) get(name string) (versioned[V], bool) {
	if s.parts == nil {
		return versioned[V]{}, false
	}
	return lookUp(s.parts[shardOf(name)], name)
}

func (s shards[V]) len() int {
	count := 0
	if s.parts != nil {
		for _, part := range s.parts {
			count += len(part)
		}
	}
	return count
}

// sorted returns the objects in the order of their names.
func (s shards[V]) sorted() []versioned[V] {
	all := make([]versioned[V], 0, s.len())
	if s.parts != nil {
		for _, part := range s.parts {
			all = append(all, part...)
		}
	}
	slices.SortFunc(all, func(a, b versioned[V]) int { return strings.Compare(a.value.identity(), b.value.identity()) })
	return all
}

func (s shards[V]) edit() *editor[V] {
	e := &editor[V]{base: s}
	if s.parts != nil {
		e.parts = *s.parts
	}
	return e
}

func (e *editor[V]) get(name string) (versioned[V], bool) {
	return lookUp(e.parts[shardOf(name)], name)
}

func (e *editor[V]) put(value V, revision uint64) {
	shard := e.own(value.identity())
	part := e.parts[shard]
	i, ok := search(part, value.identity())
	if ok {
		part[i] = versioned[V]{value, revision}
		return
	}
	e.parts[shard] = slices.Insert(part, i, versioned[V]{value, revision})
}

func (e *editor[V]) remove(name string) {
	shard := e.own(name)
	if i, ok := search(e.parts[shard], name); ok {
		e.parts[shard] = slices.Delete(e.parts[shard], i, i+1)
	}
}

func (e *editor[V]) own(name string) int {
	shard := shardOf(name)
	if !e.owned[shard] {
		e.parts[shard] = slices.Clone(e.parts[shard])
		e.owned[shard] = true
	}
	return shard
}

// done returns the edited set, with shards that grew cut to their length. Without any write it is the set itself.
func (e *editor[V]) done() shards[V] {
	if e.owned == [shardCount]bool{} {
		return e.base
	}
	for shard, part := range e.parts {
		if e.owned[shard] && cap(part) > len(part) {
			e.parts[shard] = append(make([]versioned[V], 0, len(part)), part...)
		}
	}
	return shards[V]{parts: &e.parts}
}
