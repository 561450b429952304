package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// queryBatch waits for the answers to several load queries. It uses atomics instead of a lock, because it is updated
// while locks of peers are held.
type queryBatch struct {
	pending     atomic.Int32 // outstanding answers, plus one while queries are being added
	anyAnswered atomic.Bool
	done        chan struct{} // closed when all queries are answered
}

func newQueryBatch() *queryBatch {
	b := &queryBatch{done: make(chan struct{})}
	b.pending.Store(1)
	return b
}

// add registers a query.
func (b *queryBatch) add() { b.pending.Add(1) }

// answered records the answer to one query.
func (b *queryBatch) answered() {
	b.anyAnswered.Store(true)
	b.complete()
}

// complete ends one query, or the phase in which queries are added.
func (b *queryBatch) complete() {
	if b.pending.Add(-1) == 0 {
		close(b.done)
	}
}

// wait returns when all queries are answered, when maxWait has passed and at least one is answered, when maxFirstWait
// has passed, or when ctx ends.
func (b *queryBatch) wait(ctx context.Context, maxWait, maxFirstWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for waited := maxWait; ; waited = maxFirstWait {
		select {
		case <-b.done:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
			if b.anyAnswered.Load() || waited >= maxFirstWait {
				return
			}
			timer.Reset(maxFirstWait - maxWait)
		}
	}
}
