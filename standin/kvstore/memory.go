// Package kvstore is a stand-in for the platform's key-value service, for tests, the demo and
// development. It keeps everything in memory and can be told to fail.
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
	mu       sync.Mutex
	entries  map[string]stored
	leases   map[store.LeaseID]lease
	watchers map[*watcher]struct{}
	history  []store.Event // the latest changes, for watches that begin at a past revision
	dropped  int64         // revision of the last change that is no longer in history
	revision int64
	lastID   store.LeaseID
	faults   Faults
	calls    Calls
	meter    meter
}

type stored struct {
	entry store.Entry
	lease store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ store.Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		entries:  make(map[string]stored),
		leases:   make(map[store.LeaseID]lease),
		watchers: make(map[*watcher]struct{}),
	}
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := m.begin(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return store.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	held, ok := m.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound.New("get %s", key)
	}
	return held.entry, nil
}

// List implements store.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := m.begin(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var found []store.Entry
	for key, held := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, held.entry)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Swap implements store.Store.
func (m *Memory) Swap(ctx context.Context, key string, value []byte, revision int64, id store.LeaseID) (int64, error) {
	if err := m.begin(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.faults.LoseRequests {
		return 0, store.ErrUncertain.New("swap %s: request lost", key)
	}
	if m.entries[key].entry.Revision != revision {
		return 0, store.ErrConflict.New("swap %s at revision %d", key, revision)
	}
	if _, ok := m.leases[id]; id != 0 && !ok {
		return 0, store.ErrLeaseLapsed.New("swap %s under lease %d", key, id)
	}
	m.revision++
	entry := store.Entry{Key: key, Value: slices.Clone(value), Revision: m.revision}
	m.entries[key] = stored{entry: entry, lease: id}
	m.record(store.Event{Entry: entry})
	if m.faults.LoseAnswers {
		return 0, store.ErrUncertain.New("swap %s: answer lost", key)
	}
	return m.revision, nil
}

// Delete implements store.Store.
func (m *Memory) Delete(ctx context.Context, key string, revision int64) error {
	if err := m.begin(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.faults.LoseRequests {
		return store.ErrUncertain.New("delete %s: request lost", key)
	}
	held, ok := m.entries[key]
	if !ok {
		return store.ErrConflict.New("delete %s, which does not exist", key)
	}
	if held.entry.Revision != revision {
		return store.ErrConflict.New("delete %s at revision %d", key, revision)
	}
	m.remove(key)
	if m.faults.LoseAnswers {
		return store.ErrUncertain.New("delete %s: answer lost", key)
	}
	return nil
}

// GrantLease implements store.Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := m.begin(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	m.extend(m.lastID, ttl)
	if m.faults.LoseAnswers {
		return 0, store.ErrUncertain.New("grant lease: answer lost")
	}
	return m.lastID, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := m.begin(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	held, ok := m.leases[id]
	if !ok {
		return store.ErrLeaseLapsed.New("renew lease %d", id)
	}
	if m.faults.LoseRequests {
		return store.ErrUnavailable.New("renew lease %d: request lost", id)
	}
	m.extend(id, held.ttl)
	return nil
}

// extend sets the end of the lease and expires it then, so that watches see its keys go.
func (m *Memory) extend(id store.LeaseID, ttl time.Duration) {
	m.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	time.AfterFunc(ttl, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expire()
	})
}

// RevokeLease implements store.Store.
func (m *Memory) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := m.begin(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(id)
	return nil
}

func (m *Memory) expire() {
	now := time.Now()
	for id, held := range m.leases {
		if !now.Before(held.expires) {
			m.drop(id)
		}
	}
}

func (m *Memory) drop(id store.LeaseID) {
	delete(m.leases, id)
	for key, held := range m.entries {
		if held.lease == id {
			m.remove(key)
		}
	}
}

func (m *Memory) remove(key string) {
	m.revision++
	delete(m.entries, key)
	m.record(store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Deleted: true})
}

func (m *Memory) ttl(id store.LeaseID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases[id].ttl
}
