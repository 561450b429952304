package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limit of a planned stop that is not widened by the stalls during the stop, as it was when the stalls
// were added up at its beginning.
func TestLimitOfStopIsWidenedByStalls(t *testing.T) {
	const (
		limit = 200 * time.Millisecond
		stop  = 350 * time.Millisecond
	)
	for _, c := range []struct {
		name  string
		stall time.Duration
		ended bool
	}{{"stalled", 200 * time.Millisecond, true}, {"stalled too briefly", 100 * time.Millisecond, false}, {"not stalled", 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stall := &stallDetector{}
				exited := make(chan struct{})
				time.AfterFunc(stop, func() { close(exited) })
				from := time.Now()
				time.AfterFunc(limit/2, func() {
					stall.mu.Lock()
					defer stall.mu.Unlock()
					stall.stalls = []span{{from, from.Add(c.stall)}}
				})
				assert.Equal(t, stall.awaitWithin(exited, limit), c.ended)
				<-exited
			})
		})
	}
}
