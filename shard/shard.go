// Package shard provides a map whose entries are spread over shards, each guarded by its own mutex.
//
// It is the common form of shared state in magnoliawharf: goroutines that work on different keys
// rarely meet on the same lock, and no lock covers a whole table.
package shard

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Map is a sharded map. Create it with NewString or NewUint64. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	shards []bucket[K, V]
	hash   func(K) uint64
}

type bucket[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// NewString returns a map keyed by a string type. A count below 1 is taken as 1.
func NewString[K ~string, V any](count int) *Map[K, V] {
	return newMap[K, V](count, func(key K) uint64 { return xxhash.Sum64String(string(key)) })
}

// NewUint64 returns a map keyed by a uint64 type. A count below 1 is taken as 1.
func NewUint64[K ~uint64, V any](count int) *Map[K, V] {
	return newMap[K, V](count, func(key K) uint64 {
		var raw [8]byte
		binary.LittleEndian.PutUint64(raw[:], uint64(key))
		return xxhash.Sum64(raw[:])
	})
}

func newMap[K comparable, V any](count int, hash func(K) uint64) *Map[K, V] {
	m := &Map[K, V]{shards: make([]bucket[K, V], max(1, count)), hash: hash}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) bucketOf(key K) *bucket[K, V] {
	return &m.shards[m.hash(key)%uint64(len(m.shards))]
}

// Get returns the value stored under key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	value, ok := b.entries[key]
	return value, ok
}

// Set stores value under key.
func (m *Map[K, V]) Set(key K, value V) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[key] = value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, key)
}

// GetOrCreate returns the value under key, storing the result of create first when there is none.
// create runs under the lock of the shard and must not use the map.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	if value, ok := b.entries[key]; ok {
		return value
	}
	value := create()
	b.entries[key] = value
	return value
}

// Update replaces the value under key by the result of change, or removes the key when keep is
// false. change runs under the lock of the shard and must not use the map.
func (m *Map[K, V]) Update(key K, change func(value V, found bool) (next V, keep bool)) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	value, found := b.entries[key]
	next, keep := change(value, found)
	if keep {
		b.entries[key] = next
		return
	}
	delete(b.entries, key)
}

// Range calls visit for each entry until it returns false. Each shard is copied under its lock and
// visited without it, so that visit may use the map.
func (m *Map[K, V]) Range(visit func(key K, value V) bool) {
	type entry struct {
		key   K
		value V
	}
	for i := range m.shards {
		b := &m.shards[i]
		b.mu.Lock()
		entries := make([]entry, 0, len(b.entries))
		for key, value := range b.entries {
			entries = append(entries, entry{key, value})
		}
		b.mu.Unlock()
		for _, e := range entries {
			if !visit(e.key, e.value) {
				return
			}
		}
	}
}

// Len returns the number of entries. Shards are counted one after the other.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		b := &m.shards[i]
		b.mu.Lock()
		total += len(b.entries)
		b.mu.Unlock()
	}
	return total
}
