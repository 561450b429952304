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

// Faults are the failures that a Memory brings about. The zero value is a healthy store.
type Faults struct {
	Down        bool          // every call fails with ErrUnavailable and has no effect
	LoseAnswers bool          // writes take effect and fail with ErrUncertain
	Delay       time.Duration // time that each call takes
	MuteWatches bool          // watches deliver nothing
}

// Calls counts the calls that a Memory has served or failed.
type Calls struct{ Reads, Writes, Watches int }

// Memory is an in-memory store.Store. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	entries  map[string]stored
	leases   map[store.LeaseID]lease
	watchers map[*watcher]struct{}
	revision int64
	lastID   store.LeaseID
	faults   Faults
	calls    Calls
}

type stored struct {
	entry store.Entry
	lease store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type watcher struct {
	prefix string
	events chan store.Event
}

// watchBuffer is the number of events a watcher may lag behind before its watch breaks.
const watchBuffer = 1024

var _ store.Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		entries:  make(map[string]stored),
		leases:   make(map[store.LeaseID]lease),
		watchers: make(map[*watcher]struct{}),
	}
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Calls returns the calls counted so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
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
	if m.entries[key].entry.Revision != revision {
		return 0, store.ErrConflict.New("swap %s at revision %d", key, revision)
	}
	if _, ok := m.leases[id]; id != 0 && !ok {
		return 0, store.ErrLeaseLapsed.New("swap %s under lease %d", key, id)
	}
	m.revision++
	entry := store.Entry{Key: key, Value: slices.Clone(value), Revision: m.revision}
	m.entries[key] = stored{entry: entry, lease: id}
	m.notify(store.Event{Entry: entry})
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
	held, ok := m.entries[key]
	if !ok {
		return store.ErrNotFound.New("delete %s", key)
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
	m.leases[m.lastID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
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
	held.expires = time.Now().Add(held.ttl)
	m.leases[id] = held
	return nil
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

// Watch implements store.Store. Changes before the call are not replayed.
func (m *Memory) Watch(ctx context.Context, prefix string, _ int64) (<-chan store.Event, error) {
	if err := m.begin(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return nil, err
	}
	w := &watcher{prefix: prefix, events: make(chan store.Event, watchBuffer)}
	m.mu.Lock()
	m.watchers[w] = struct{}{}
	m.mu.Unlock()
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.breakWatch(w)
	})
	return w.events, nil
}

// begin counts the call, lets its delay pass and fails it when the store is down.
func (m *Memory) begin(ctx context.Context, count func(*Calls)) error {
	m.mu.Lock()
	faults := m.faults
	count(&m.calls)
	m.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return store.ErrUnavailable.Wrap(ctx.Err(), "call")
		}
	}
	if faults.Down {
		return store.ErrUnavailable.New("store is down")
	}
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
	m.notify(store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Deleted: true})
}

func (m *Memory) notify(event store.Event) {
	if m.faults.MuteWatches {
		return
	}
	for w := range m.watchers {
		if !strings.HasPrefix(event.Entry.Key, w.prefix) {
			continue
		}
		select {
		case w.events <- event:
		default:
			m.breakWatch(w)
		}
	}
}

func (m *Memory) breakWatch(w *watcher) {
	if _, ok := m.watchers[w]; ok {
		delete(m.watchers, w)
		close(w.events)
	}
}
