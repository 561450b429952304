package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// failoverStore is a store with several endpoints, of which one is in use. A call that certainly had no
// effect because its endpoint is unavailable is repeated at the next endpoint, at most once at each.
type failoverStore struct {
	store.NoEra

	endpoints []store.Store
	current   atomic.Uint32 // index of the endpoint in use, modulo their number
}

var _ store.Store = (*failoverStore)(nil)

func newFailoverStore(endpoints []store.Store) *failoverStore {
	return &failoverStore{endpoints: endpoints}
}

// try calls do with the current endpoint, and with the following ones until one is available.
func (f *failoverStore) try(do func(store.Store) error) error {
	err := error(store.ErrUnavailable.New("no store endpoint is configured"))
	for range f.endpoints {
		index := f.current.Load()
		if err = do(f.endpoints[int(index)%len(f.endpoints)]); !store.Is(err, store.ErrUnavailable) {
			return err
		}
		f.current.CompareAndSwap(index, index+1)
	}
	return err
}

// Get implements store.Store.
func (f *failoverStore) Get(ctx context.Context, key string) (found store.Entry, err error) {
	err = f.try(func(s store.Store) (err error) { found, err = s.Get(ctx, key); return err })
	return found, err
}

// List implements store.Store.
func (f *failoverStore) List(ctx context.Context, prefix string) (found []store.Entry, err error) {
	err = f.try(func(s store.Store) (err error) { found, err = s.List(ctx, prefix); return err })
	return found, err
}

// Swap implements store.Store.
func (f *failoverStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (next int64, err error) {
	err = f.try(func(s store.Store) (err error) { next, err = s.Swap(ctx, key, value, revision, lease); return err })
	return next, err
}

// Delete implements store.Store.
func (f *failoverStore) Delete(ctx context.Context, key string, revision int64) error {
	return f.try(func(s store.Store) error { return s.Delete(ctx, key, revision) })
}

// GrantLease implements store.Store.
func (f *failoverStore) GrantLease(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = f.try(func(s store.Store) (err error) { id, err = s.GrantLease(ctx, ttl); return err })
	return id, err
}

// RenewLease implements store.Store.
func (f *failoverStore) RenewLease(ctx context.Context, id store.LeaseID) error {
	return f.try(func(s store.Store) error { return s.RenewLease(ctx, id) })
}

// RevokeLease implements store.Store.
func (f *failoverStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return f.try(func(s store.Store) error { return s.RevokeLease(ctx, id) })
}

// Watch implements store.Store.
func (f *failoverStore) Watch(ctx context.Context, prefix string, after int64) (events <-chan store.Event, err error) {
	err = f.try(func(s store.Store) (err error) { events, err = s.Watch(ctx, prefix, after); return err })
	return events, err
}
