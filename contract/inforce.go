package contract

import (
	"sync"
	"sync/atomic"
)

// InForce is the version that a process acts on. It never goes back to an older one. It is safe for concurrent use.
type InForce struct {
	current atomic.Pointer[Contracts]

	mu      sync.Mutex // held while a version is adopted
	adopted []func(*Contracts)
}

// NewInForce returns an InForce without a version.
func NewInForce() *InForce { return &InForce{} }

// Load returns the contracts in force, nil before the first.
func (f *InForce) Load() *Contracts { return f.current.Load() }

// Version returns the version in force, 0 before the first.
func (f *InForce) Version() uint64 {
	if c := f.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Adopt puts c in force unless a version at least as new already is, and reports whether it did.
func (f *InForce) Adopt(c *Contracts) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.current.Load(); held != nil && held.Version >= c.Version {
		return false
	}
	f.current.Store(c)
	for _, notify := range f.adopted {
		notify(c)
	}
	return true
}

// OnAdopt calls notify with each version adopted from now on. notify must not block or use f.Adopt.
func (f *InForce) OnAdopt(notify func(*Contracts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adopted = append(f.adopted, notify)
}
