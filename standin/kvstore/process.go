package kvstore

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Process is a Memory as one process sees it: only answers to calls of this process show it the era. It implements
// store.Store and is safe for concurrent use.
type Process struct {
	store.EraTracker

	memory *Memory
}

var _ store.Store = (*Process)(nil)

// NewProcess returns the view of a process that has made no call yet.
func (m *Memory) NewProcess() *Process { return &Process{memory: m} }

// observe records the era that an answer shows. A store that is down does not answer.
func (p *Process) observe(err error) {
	if !store.Is(err, store.ErrUnavailable) && !store.Is(err, store.ErrUncertain) {
		p.Observe(p.memory.CurrentEra())
	}
}

// Get implements store.Store.
func (p *Process) Get(ctx context.Context, key string) (store.Entry, error) {
	found, err := p.memory.Get(ctx, key)
	p.observe(err)
	return found, err
}

// Verify implements store.Verifier.
func (p *Process) Verify(ctx context.Context, key string, revision int64) (bool, error) {
	unchanged, err := p.memory.Verify(ctx, key, revision)
	p.observe(err)
	return unchanged, err
}

// List implements store.Store.
func (p *Process) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	found, err := p.memory.List(ctx, prefix)
	p.observe(err)
	return found, err
}

// Swap implements store.Store.
func (p *Process) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (int64, error) {
	written, err := p.memory.Swap(ctx, key, value, revision, lease)
	p.observe(err)
	return written, err
}

// Delete implements store.Store.
func (p *Process) Delete(ctx context.Context, key string, revision int64) error {
	err := p.memory.Delete(ctx, key, revision)
	p.observe(err)
	return err
}

// GrantLease implements store.Store.
func (p *Process) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	id, err := p.memory.GrantLease(ctx, ttl)
	p.observe(err)
	return id, err
}

// RenewLease implements store.Store.
func (p *Process) RenewLease(ctx context.Context, id store.LeaseID) error {
	err := p.memory.RenewLease(ctx, id)
	p.observe(err)
	return err
}

// RevokeLease implements store.Store.
func (p *Process) RevokeLease(ctx context.Context, id store.LeaseID) error {
	err := p.memory.RevokeLease(ctx, id)
	p.observe(err)
	return err
}

// Watch implements store.Store. Each event is an answer that shows the era.
func (p *Process) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	events, err := p.memory.Watch(ctx, prefix, after)
	p.observe(err)
	if err != nil {
		return nil, err
	}
	observed := make(chan store.Event, watchBuffer)
	go func() {
		defer close(observed)
		for event := range events {
			p.observe(nil)
			select {
			case observed <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return observed, nil
}
