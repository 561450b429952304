package bundle

import (
	"sync"
	"sync/atomic"
)

// InForce holds the bundle in force at a node. Readers never block; writers take turns.
type InForce struct {
	current atomic.Pointer[Bundle]

	mu      sync.Mutex
	changed chan struct{}
}

// NewInForce returns a holder without a bundle.
func NewInForce() *InForce {
	return &InForce{changed: make(chan struct{})}
}

// Load returns the bundle in force, or nil before there is one.
func (f *InForce) Load() *Bundle { return f.current.Load() }

// Changed returns a channel that is closed at the next change.
func (f *InForce) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Put takes b when its version is higher than the one in force and reports whether it did. The
// caller has checked the signature.
func (f *InForce) Put(b *Bundle) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.current.Load(); held != nil && held.Version >= b.Version {
		return false
	}
	f.current.Store(b)
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}
