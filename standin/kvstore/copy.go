package kvstore

import (
	"maps"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Copy is the state of a Memory at one moment, from which it can be restored.
type Copy struct {
	entries     map[string]store.Entry
	leases      map[store.LeaseID]lease
	revision    int64
	lastLeaseID store.LeaseID
}

// Copy returns the present state.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	return Copy{entries: maps.Clone(m.entries), leases: maps.Clone(m.leases), revision: m.revision, lastLeaseID: m.lastLeaseID}
}

// Restore replaces the state by that of an older copy, as a store does that has lost its newest data. Later writes and
// leases are gone, their revisions and lease IDs are given out again, no history is left, and the era rises by one. The
// leases of the copy begin anew. Open watches stay open and hear only of later changes, as behind a proxy that keeps its
// connections; CloseWatches breaks them. No answer has shown the new era yet.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries, m.leases = maps.Clone(c.entries), make(map[store.LeaseID]lease, len(c.leases))
	m.revision, m.lastLeaseID = c.revision, c.lastLeaseID
	m.history, m.compacted = nil, c.revision
	m.era++
	for id, current := range c.leases {
		m.extend(id, current.ttl)
	}
}

// CurrentEra returns the era of the store, whether or not an answer has shown it.
func (m *Memory) CurrentEra() store.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
