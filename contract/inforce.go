package contract

import (
	"sync"
	"sync/atomic"
)

// InForce holds the contracts that a process applies. Their version never decreases. It is safe for concurrent use.
type InForce struct {
	current atomic.Pointer[Contracts]

	mu      sync.Mutex // serializes Adopt and guards adopted
	adopted []func(*Contracts)
}

// NewInForce returns a value that holds no contracts yet.
func NewInForce() *InForce { return &InForce{} }

// Load returns the current contracts, or nil before the first Adopt.
func (f *InForce) Load() *Contracts { return f.current.Load() }

// Version returns the current version, or 0 before the first Adopt.
func (f *InForce) Version() uint64 {
	if c := f.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Adopt replaces the current contracts by c if c has a higher version, and reports whether it did.
func (f *InForce) Adopt(c *Contracts) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.current.Load(); current != nil && current.Version >= c.Version {
		return false
	}
	f.current.Store(c)
	for _, notify := range f.adopted {
		notify(c)
	}
	return true
}

// OnAdopt registers notify to be called with each version adopted from now on. notify must not block or call f.Adopt.
func (f *InForce) OnAdopt(notify func(*Contracts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adopted = append(f.adopted, notify)
}
