// Package inflight counts requests in flight, so that a graceful shutdown can wait for them to finish.
package inflight

import (
	"context"
	"sync"
)

// Counter counts requests in flight. The zero value is ready for use. It is safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count falls to 0; nil unless a Wait call is blocked
}

// Begin counts a request as in flight until the returned function is called, which must happen exactly once.
func (c *Counter) Begin() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.end
}

func (c *Counter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Wait blocks until no request is in flight. It returns the error of ctx when ctx ends first.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Len returns the number of requests in flight.
func (c *Counter) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
