package bundle

import (
	"sync"
	"sync/atomic"
)

// Current holds the current bundle of a node. Load never blocks; writers are serialised.
type Current struct {
	current atomic.Pointer[Bundle]

	mu      sync.Mutex
	changed chan struct{}
}

// NewCurrent returns a holder without a bundle.
func NewCurrent() *Current {
	return &Current{changed: make(chan struct{})}
}

// Load returns the current bundle, or nil before there is one.
func (f *Current) Load() *Bundle { return f.current.Load() }

// Changed returns a channel that is closed when the bundle is next replaced.
func (f *Current) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Put replaces the current bundle by b if b has a higher version, and reports whether it did. The signature must
// already be verified.
func (f *Current) Put(b *Bundle) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous := f.current.Load(); previous != nil && previous.Version >= b.Version {
		return false
	}
	f.current.Store(b)
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}
