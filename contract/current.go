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
func (c *Current) Load() *Contracts { return c.current.Load() }

// Version returns the current version, or 0 before the first Adopt.
func (c *Current) Version() uint64 {
	if contracts := c.current.Load(); contracts != nil {
		return contracts.Version
	}
	return 0
}

// Adopt replaces the current contracts by next if next has a higher version, and reports whether it did.
func (c *Current) Adopt(next *Contracts) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.current.Load(); current != nil && current.Version >= next.Version {
		return false
	}
	c.current.Store(next)
	for _, notify := range c.adopted {
		notify(next)
	}
	return true
}

// OnAdopt registers notify to be called with each version adopted from now on. notify must not block or call c.Adopt.
func (c *Current) OnAdopt(notify func(*Contracts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopted = append(c.adopted, notify)
}
