// Package kvstore is a stand-in for the platform's key-value service, for tests, the demo and
// development. It keeps all entries in memory and injects faults on request.
package kvstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Memory is an in-memory store.Store. It is safe for concurrent use.
type Memory struct {
	store.EraTracker // the era that the answers so far have shown

	mu          sync.Mutex
	entries     map[string]store.Entry
	leases      map[store.LeaseID]lease
	watchers    map[*watcher]struct{}
	history     []store.Event // the most recent changes, for watches that begin at a past revision
	compacted   int64         // revision of the newest change that is no longer in history
	revision    int64
	lastLeaseID store.LeaseID
	era         store.Era
	faults      Faults
	calls       Calls
	rate        rateMeter
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var (
	_ store.Store    = (*Memory)(nil)
	_ store.Verifier = (*Memory)(nil)
)

// firstEra is the era of a store that has never come back from a copy.
const firstEra = 1

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		entries:  make(map[string]store.Entry),
		leases:   make(map[store.LeaseID]lease),
		watchers: make(map[*watcher]struct{}),
		era:      firstEra,
	}
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := m.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return store.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	current, ok := m.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound.New("get %s", key)
	}
	return current, nil
}

// List implements store.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := m.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var found []store.Entry
	for key, current := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, current)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Verify implements store.Verifier. It counts as a write, as a transaction does at the platform.
func (m *Memory) Verify(ctx context.Context, key string, revision int64) (bool, error) {
	if err := m.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	return m.entries[key].Revision == revision, nil
}

// Swap implements store.Store.
func (m *Memory) Swap(ctx context.Context, key string, value []byte, revision int64, id store.LeaseID) (int64, error) {
	if err := m.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.faults.DropRequests {
		return 0, store.ErrUncertain.New("swap %s: request lost", key)
	}
	if m.entries[key].Revision != revision {
		return 0, store.ErrConflict.New("swap %s at revision %d", key, revision)
	}
	if _, ok := m.leases[id]; id != 0 && !ok {
		return 0, store.ErrLeaseLapsed.New("swap %s under lease %d", key, id)
	}
	m.revision++
	entry := store.Entry{Key: key, Value: slices.Clone(value), Revision: m.revision, Lease: id}
	m.entries[key] = entry
	m.publish(store.Event{Entry: entry})
	if m.faults.DropResponses {
		return 0, store.ErrUncertain.New("swap %s: answer lost", key)
	}
	return m.revision, nil
}

// Delete implements store.Store.
func (m *Memory) Delete(ctx context.Context, key string, revision int64) error {
	if err := m.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.faults.DropRequests {
		return store.ErrUncertain.New("delete %s: request lost", key)
	}
	current, ok := m.entries[key]
	if !ok {
		return store.ErrConflict.New("delete %s, which does not exist", key)
	}
	if current.Revision != revision {
		return store.ErrConflict.New("delete %s at revision %d", key, revision)
	}
	m.deleteKey(key)
	if m.faults.DropResponses {
		return store.ErrUncertain.New("delete %s: answer lost", key)
	}
	return nil
}

// GrantLease implements store.Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := m.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLeaseID++
	m.extend(m.lastLeaseID, ttl)
	if m.faults.DropResponses {
		return 0, store.ErrUncertain.New("grant lease: answer lost")
	}
	return m.lastLeaseID, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := m.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	current, ok := m.leases[id]
	if !ok {
		return store.ErrLeaseLapsed.New("renew lease %d", id)
	}
	if m.faults.DropRequests {
		return store.ErrUnavailable.New("renew lease %d: request lost", id)
	}
	m.extend(id, current.ttl)
	return nil
}

// extend sets the expiry of the lease and schedules its removal, so that watches see its keys deleted without another
// call to the store.
func (m *Memory) extend(id store.LeaseID, ttl time.Duration) {
	m.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	time.AfterFunc(ttl, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expireLeases()
	})
}

// RevokeLease implements store.Store.
func (m *Memory) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := m.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(id)
	return nil
}

func (m *Memory) expireLeases() {
	now := time.Now()
	for id, current := range m.leases {
		if !now.Before(current.expires) {
			m.endLease(id)
		}
	}
}

func (m *Memory) endLease(id store.LeaseID) {
	delete(m.leases, id)
	for key, current := range m.entries {
		if current.Lease == id {
			m.deleteKey(key)
		}
	}
}

func (m *Memory) deleteKey(key string) {
	m.revision++
	delete(m.entries, key)
	m.publish(store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Deleted: true})
}

func (m *Memory) ttl(id store.LeaseID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases[id].ttl
}
