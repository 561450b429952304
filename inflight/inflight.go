package node

import (
	"context"
	"sync"
)

// inFlight counts requests in flight and lets a stop wait for the last one.
type inFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count falls to 0; nil unless someone waits
}

// begin counts a request until the returned function is called once.
func (f *inFlight) begin() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return f.end
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns when no request is in flight, or with the error of ctx.
func (f *inFlight) wait(ctx context.Context) error {
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
