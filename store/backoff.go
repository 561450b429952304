package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/wait"
)

// Limits of the waits between tries. The longest spreads the return of many processes after an
// outage over seconds.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 8 * time.Second
	// wakeSpread is the time over which the processes that are woken together come back.
	wakeSpread = 300 * time.Millisecond
)

// Backoff spaces tries after failures: waits double from 50 ms to Longest and are jittered over their
// full range, so that processes that failed together do not return together. The zero value is
// ready for use. It is not safe for concurrent use.
type Backoff struct {
	// Longest bounds the waits. 0 stands for 8 s.
	Longest time.Duration
	// Wake cuts a wait short: somebody else has reached the store. nil never does.
	Wake <-chan struct{}

	limit time.Duration
}

// Wait waits for the next try, or returns the error of ctx.
func (b *Backoff) Wait(ctx context.Context) error {
	longest := b.Longest
	if longest <= 0 {
		longest = maxBackoff
	}
	b.limit = min(max(2*b.limit, 2*minBackoff), max(longest, 2*minBackoff))
	timer := time.NewTimer(minBackoff + rand.N(b.limit-minBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-b.Wake:
		wait.For(ctx, rand.N(wakeSpread))
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reset begins with short waits again, after a success.
func (b *Backoff) Reset() { b.limit = 0 }
