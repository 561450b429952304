package contract

import (
	"sync"
	"sync/atomic"
)

// Current holds the contracts that a process applies. Their version never decreases. It is safe for concurrent use.
type Current struct {
	current atomic.Pointer[Contracts]

	mu      sync.Mutex // serializes Adopt and guards adopted
	adopted []func(*Contracts)
}

// NewCurrent returns a value that holds no contracts yet.
func NewCurrent() *Current { return &Current{} }

// Load returns the current contracts, or nil before the first Adopt.
func (f *Current) Load() *Contracts { return f.current.Load() }

// Version returns the current version, or 0 before the first Adopt.
func (f *Current) Version() uint64 {
	if c := f.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Adopt replaces the current contracts by c if c has a higher version, and reports whether it did.
func (f *Current) Adopt(c *Contracts) bool {
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
func (f *Current) OnAdopt(notify func(*Contracts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adopted = append(f.adopted, notify)
}
