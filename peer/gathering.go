package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// gathering waits for the answers to several questions. It has no lock, since it is used under those of peers.
type gathering struct {
	left atomic.Int32 // answers to come, and one while questions are added
	some atomic.Bool
	done chan struct{} // closed when all have answered
}

func newGathering() *gathering {
	g := &gathering{done: make(chan struct{})}
	g.left.Store(1)
	return g
}

// expect adds a question.
func (g *gathering) expect() { g.left.Add(1) }

// answered takes the answer to one question.
func (g *gathering) answered() {
	g.some.Store(true)
	g.settle()
}

// settle ends a question, or the adding of questions.
func (g *gathering) settle() {
	if g.left.Add(-1) == 0 {
		close(g.done)
	}
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
			if g.some.Load() || waited >= last {
				return
			}
			timer.Reset(last - most)
		}
	}
}
