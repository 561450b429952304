package caller

import (
	"context"
	"math"
	"time"
)

// ReadFirst reads the body before the first attempt, so that its hash becomes known. It stops after limit bytes, all of which it buffers,
// and at the end of ctx.
func (b *Body) ReadFirst(ctx context.Context, limit int64) {
	b.mu.Lock()
	b.limit = max(b.limit, limit)
	b.mu.Unlock()
	b.readUntil(ctx, limit)
}

// ReadRest reads what the attempts have left of the body, for up to the given time, so that its hash becomes known.
func (b *Body) ReadRest(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	b.readUntil(ctx, math.MaxInt64)
}

// readUntil reads the source up to its end or limit, or until ctx ends. A read that waits for the source then goes on until the source
// is closed.
func (b *Body) readUntil(ctx context.Context, limit int64) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil && b.readPart(limit) == nil {
		}
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// partSize is the size in bytes of one read of a body without an attempt.
const partSize = 16 << 10

// readPart reads the next part of the source up to limit, where its error is ErrNotReplayable.
func (b *Body) readPart(limit int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read >= limit {
		return ErrNotReplayable
	}
	_, err := b.readSource(make([]byte, min(limit-b.read, partSize)))
	return err
}
