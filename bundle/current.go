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
func (c *Current) Load() *Bundle { return c.current.Load() }

// Changed returns a channel that is closed when the bundle is next replaced.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Put replaces the current bundle by b if b has a higher version, and reports whether it did. The signature must
// already be verified.
func (c *Current) Put(b *Bundle) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.current.Load(); previous != nil && previous.Version >= b.Version {
		return false
	}
	c.current.Store(b)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}
