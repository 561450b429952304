package peer

import (
	"context"
	"sync"
	"time"
)

// gathering waits for the answers to several questions.
type gathering struct {
	mu   sync.Mutex
	left int
	some bool
	done chan struct{} // closed when all have answered
}

func (g *gathering) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.some = true
	if g.left--; g.left == 0 {
		close(g.done)
	}
}

func (g *gathering) any() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.some
}

// wait returns when all have answered, when most has passed and some have, or when last has passed.
func (g *gathering) wait(ctx context.Context, most, last time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for waited := most; ; waited = last {
		select {
		case <-g.done:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
			if g.any() || waited >= last {
				return
			}
			timer.Reset(last - most)
		}
	}
}
