package inbound_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against a request that is sent to the upstream although its caller has left, since the next look at the caller's connection
// is still to come when it gets its slot.
func TestRequestIsNotSentWhenItsCallerHasLeft(t *testing.T) {
	for name, running := range map[string]int{"a slot is free": 0, "it waits for a slot": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeClient{work: 100 * time.Millisecond}
				p := newProxy(c)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
				for range running {
					go serve(t.Context(), p, "running", "a", time.Second)
				}
				time.Sleep(10 * time.Millisecond)
				var left atomic.Bool
				left.Store(running == 0)
				time.AfterFunc(50*time.Millisecond, func() { left.Store(true) })
				refusal := serve(caller.WithPresence(context.Background(), left.Load), p, "left", "a", time.Second)
				assert.Assert(t, refusal != nil, "the request was sent")
				assert.Equal(t, refusal.Reason, caller.Cancelled)
				assert.Equal(t, refusal.Ran, caller.NotRun)
				assert.Equal(t, c.sentCount(), running)
			})
		})
	}
}
