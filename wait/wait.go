// Package wait provides a sleep that the end of a context interrupts.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, and reports false when ctx was done first. It returns at once when d is not
// positive.
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
