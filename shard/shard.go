// Package shard provides a map whose entries are spread over shards, each guarded by its own mutex.
//
// Shared state in magnoliawharf is kept in this form: goroutines that work on different keys rarely
// contend for the same lock, and no lock covers a whole table.
package shard

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Map is a sharded map. Create it with NewString or NewUint64. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	shards []mapShard[K, V]
	hash   func(K) uint64
}

// mapShard is one part of a Map with its own lock.
type mapShard[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// NewString returns a map with shardCount shards, keyed by a string type. A shardCount below 1 is treated as 1.
func NewString[K ~string, V any](shardCount int) *Map[K, V] {
	return newMap[K, V](shardCount, func(key K) uint64 { return xxhash.Sum64String(string(key)) })
}

// NewUint64 returns a map with shardCount shards, keyed by a uint64 type. A shardCount below 1 is treated as 1.
func NewUint64[K ~uint64, V any](shardCount int) *Map[K, V] {
	return newMap[K, V](shardCount, func(key K) uint64 {
		var raw [8]byte
		binary.LittleEndian.PutUint64(raw[:], uint64(key))
		return xxhash.Sum64(raw[:])
	})
}

func newMap[K comparable, V any](shardCount int, hash func(K) uint64) *Map[K, V] {
	m := &Map[K, V]{shards: make([]mapShard[K, V], max(1, shardCount)), hash: hash}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardFor(key K) *mapShard[K, V] {
	return &m.shards[m.hash(key)%uint64(len(m.shards))]
}

// Get returns the value stored under key and reports whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.entries[key]
	return value, ok
}

// Set stores value under key.
func (m *Map[K, V]) Set(key K, value V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key] = value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// GetOrCreate returns the value stored under key. When there is none, it stores and returns the result of create.
// create runs under the lock of the shard and must not use the map.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if value, ok := s.entries[key]; ok {
		return value
	}
	value := create()
	s.entries[key] = value
	return value
}

// Update replaces the value under key with the result of change, or removes the key when keep is
// false. change runs under the lock of the shard and must not use the map.
func (m *Map[K, V]) Update(key K, change func(value V, found bool) (next V, keep bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	next, keep := change(value, found)
	if keep {
		s.entries[key] = next
		return
	}
	delete(s.entries, key)
}

// Range calls visit for each entry until visit returns false. Each shard is copied under its lock and
// visited without it, so that visit may use the map.
func (m *Map[K, V]) Range(visit func(key K, value V) bool) {
	type entry struct {
		key   K
		value V
	}
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		entries := make([]entry, 0, len(s.entries))
		for key, value := range s.entries {
			entries = append(entries, entry{key, value})
		}
		s.mu.Unlock()
		for _, e := range entries {
			if !visit(e.key, e.value) {
				return
			}
		}
	}
}

// Len returns the number of entries. It locks one shard at a time, so concurrent changes may make the sum inexact.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		total += len(s.entries)
		s.mu.Unlock()
	}
	return total
}
