package configurer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// shardCount bounds the objects that one change copies: with 81,000 workspaces a shard holds about 320 of them.
const shardCount = 256

// named is an object that shards can hold, with its name or identifier.
type named interface {
	identity() string
}

func (w Workspace) identity() string { return w.Name }
func (k Key) identity() string       { return k.ID }
func (r Route) identity() string     { return r.Name }
func (s Service) identity() string   { return s.Name }
func (d Document) identity() string  { return d.Name }

func (e Evacuation) identity() string { return e.Centre }

// versioned is an object with the version that last changed it.
type versioned[V named] struct {
	value    V
	revision uint64
}

// shards is an immutable set of objects by name, hashed to sorted slices, which take half of the memory of maps. An
// edit copies only the shards that it writes to, so that the cost of a change hardly depends on the number of objects.
// The zero value is empty.
type shards[V named] struct {
	buckets *[shardCount][]versioned[V]
}

// editor collects writes to a copy of shards.
type editor[V named] struct {
	base    shards[V]
	buckets [shardCount][]versioned[V]
	copied  [shardCount]bool
}

func shardIndex(name string) int {
	return int(xxhash.Sum64String(name) % shardCount)
}

func search[V named](bucket []versioned[V], name string) (int, bool) {
	return slices.BinarySearchFunc(bucket, name, func(object versioned[V], name string) int {
		return strings.Compare(object.value.identity(), name)
	})
}

func lookUp[V named](bucket []versioned[V], name string) (versioned[V], bool) {
	if i, ok := search(bucket, name); ok {
		return bucket[i], true
	}
	return versioned[V]{}, false
}

func (s shards[V]) get(name string) (versioned[V], bool) {
	if s.buckets == nil {
		return versioned[V]{}, false
	}
	return lookUp(s.buckets[shardIndex(name)], name)
}

func (s shards[V]) len() int {
	count := 0
	if s.buckets != nil {
		for _, bucket := range s.buckets {
			count += len(bucket)
		}
	}
	return count
}

// sorted returns the objects sorted by name.
func (s shards[V]) sorted() []versioned[V] {
	all := make([]versioned[V], 0, s.len())
	if s.buckets != nil {
		for _, bucket := range s.buckets {
			all = append(all, bucket...)
		}
	}
	slices.SortFunc(all, func(a, b versioned[V]) int { return strings.Compare(a.value.identity(), b.value.identity()) })
	return all
}

func (s shards[V]) edit() *editor[V] {
	e := &editor[V]{base: s}
	if s.buckets != nil {
		e.buckets = *s.buckets
	}
	return e
}

func (e *editor[V]) get(name string) (versioned[V], bool) {
	return lookUp(e.buckets[shardIndex(name)], name)
}

func (e *editor[V]) put(value V, revision uint64) {
	shard := e.copyShard(value.identity())
	bucket := e.buckets[shard]
	i, ok := search(bucket, value.identity())
	if ok {
		bucket[i] = versioned[V]{value, revision}
		return
	}
	e.buckets[shard] = slices.Insert(bucket, i, versioned[V]{value, revision})
}

func (e *editor[V]) remove(name string) {
	shard := e.copyShard(name)
	if i, ok := search(e.buckets[shard], name); ok {
		e.buckets[shard] = slices.Delete(e.buckets[shard], i, i+1)
	}
}

func (e *editor[V]) copyShard(name string) int {
	shard := shardIndex(name)
	if !e.copied[shard] {
		e.buckets[shard] = slices.Clone(e.buckets[shard])
		e.copied[shard] = true
	}
	return shard
}

// build returns the edited set, with the capacity of each written shard trimmed to its length. Without writes it
// returns the original set.
func (e *editor[V]) build() shards[V] {
	if e.copied == [shardCount]bool{} {
		return e.base
	}
	for shard, bucket := range e.buckets {
		if e.copied[shard] && cap(bucket) > len(bucket) {
			e.buckets[shard] = append(make([]versioned[V], 0, len(bucket)), bucket...)
		}
	}
	return shards[V]{buckets: &e.buckets}
}
