package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// replicas is a store reached through one of several endpoints. A call that certainly had no effect
// because its endpoint is unavailable moves on to the next endpoint, once around.
type replicas struct {
	stores  []store.Store
	current atomic.Uint32
}

var _ store.Store = (*replicas)(nil)

func newReplicas(stores []store.Store) *replicas { return &replicas{stores: stores} }

// try calls do with one endpoint after the other until one is available.
func (r *replicas) try(do func(store.Store) error) error {
	err := error(store.ErrUnavailable.New("no store endpoint is set"))
	for range r.stores {
		index := r.current.Load()
		if err = do(r.stores[int(index)%len(r.stores)]); !store.Is(err, store.ErrUnavailable) {
			return err
		}
		r.current.CompareAndSwap(index, index+1)
	}
	return err
}

// Get implements store.Store.
func (r *replicas) Get(ctx context.Context, key string) (found store.Entry, err error) {
	err = r.try(func(s store.Store) (err error) { found, err = s.Get(ctx, key); return err })
	return found, err
}

// List implements store.Store.
func (r *replicas) List(ctx context.Context, prefix string) (found []store.Entry, err error) {
	err = r.try(func(s store.Store) (err error) { found, err = s.List(ctx, prefix); return err })
	return found, err
}

// Swap implements store.Store.
func (r *replicas) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (next int64, err error) {
	err = r.try(func(s store.Store) (err error) { next, err = s.Swap(ctx, key, value, revision, lease); return err })
	return next, err
}

// Delete implements store.Store.
func (r *replicas) Delete(ctx context.Context, key string, revision int64) error {
	return r.try(func(s store.Store) error { return s.Delete(ctx, key, revision) })
}

// GrantLease implements store.Store.
func (r *replicas) GrantLease(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = r.try(func(s store.Store) (err error) { id, err = s.GrantLease(ctx, ttl); return err })
	return id, err
}

// RenewLease implements store.Store.
func (r *replicas) RenewLease(ctx context.Context, id store.LeaseID) error {
	return r.try(func(s store.Store) error { return s.RenewLease(ctx, id) })
}

// RevokeLease implements store.Store.
func (r *replicas) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return r.try(func(s store.Store) error { return s.RevokeLease(ctx, id) })
}

// Watch implements store.Store.
func (r *replicas) Watch(ctx context.Context, prefix string, after int64) (events <-chan store.Event, err error) {
	err = r.try(func(s store.Store) (err error) { events, err = s.Watch(ctx, prefix, after); return err })
	return events, err
}
