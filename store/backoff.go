package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/wait"
)

// Limits of the delay between attempts. The maximum spreads the reconnects of many processes after an
// outage over several seconds.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 8 * time.Second
	// wakeJitter bounds the random delay after a wake-up, so that processes woken together do not retry at once.
	wakeJitter = 300 * time.Millisecond
)

// Backoff delays retries after failures. The upper bound of the delay doubles up to a maximum, and each delay
// is drawn at random between 50 ms and that bound, so that processes that failed together do not retry
// together. The zero value is ready for use. It is not safe for concurrent use.
type Backoff struct {
	// MaxDelay is the maximum delay. 0 means 8 s.
	MaxDelay time.Duration
	// Wake ends a delay early, because another process has reached the store. It may be nil.
	Wake <-chan struct{}
	// Changed ends a delay early. It is closed when an answer of the store shows a new era, so the store answers again. It may
	// be nil.
	Changed <-chan struct{}

	limit time.Duration
}

// Wait blocks until the next attempt is due. It returns the error of ctx when ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	maxDelay := b.MaxDelay
	if maxDelay <= 0 {
		maxDelay = maxBackoff
	}
	b.limit = min(max(2*b.limit, 2*minBackoff), max(maxDelay, 2*minBackoff))
	timer := time.NewTimer(minBackoff + rand.N(b.limit-minBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-b.Wake:
	case <-b.Changed:
	case <-ctx.Done():
		return ctx.Err()
	}
	wait.For(ctx, rand.N(wakeJitter))
	return ctx.Err()
}

// Reset sets the delay back to the minimum after a success.
func (b *Backoff) Reset() { b.limit = 0 }
