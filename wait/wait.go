// Package wait holds the one wait that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx still holds. It returns at once when d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
