// Package inflight counts requests in flight, so that a planned stop can wait for the last one.
package inflight

import (
	"context"
	"sync"
)

// Counter counts requests in flight and lets a stop wait for the last one. The zero value is ready for use. It is safe
// for concurrent use.
type Counter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count falls to 0; nil unless someone waits
}

// Begin counts a request until the returned function is called once.
func (f *Counter) Begin() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return f.end
}

func (f *Counter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Wait returns when no request is in flight, or with the error of ctx.
func (f *Counter) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Len returns the number of requests in flight.
func (f *Counter) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
