package datacentre

import (
	"context"
	"sync"
)

// workers starts goroutines between open and close, and waits for them.
type workers struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func (w *workers) open(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx, w.cancel = context.WithCancel(ctx)
}

// start runs work in a goroutine. Before open and after close it does nothing and reports false.
func (w *workers) start(work func(ctx context.Context)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return false
	}
	ctx := w.ctx
	w.running.Go(func() { work(ctx) })
	return true
}

// close cancels the context of all goroutines and waits for them.
func (w *workers) close() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.running.Wait()
}
