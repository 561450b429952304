package store_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// reactionTime is the time within which a process acts on a new era that an answer has shown.
const reactionTime = time.Second

// Guards against a process that starts over at its first answer or at a delayed answer of an earlier era, and against one
// that does not notice a change.
func TestEraTracker(t *testing.T) {
	var tracker store.EraTracker
	unknown := tracker.Era()
	tracker.Observe(0) // an answer without an era
	tracker.Observe(4)
	assert.Assert(t, !unknown.Ended())
	known := tracker.Era()
	assert.Equal(t, known.Current, store.Era(4))
	tracker.Observe(3)
	tracker.Observe(4)
	assert.Assert(t, !known.Ended())
	tracker.Observe(5)
	assert.Assert(t, known.Ended() && unknown.Ended())
	after := tracker.Era()
	assert.Equal(t, after.Current, store.Era(5))
	assert.Equal(t, after.Previous, store.Era(4))
	assert.Assert(t, !after.Ended())
	assert.Assert(t, !store.NoEra{}.Era().Ended())
}

// Guards against a follower that drops changes after the store has returned from an older copy, because revisions that are
// given out again look older than those that it knows.
func TestFollowStartsOverInANewEra(t *testing.T) {
	for name, breaks := range map[string]bool{"watch stays open": false, "watch breaks": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				memory := kvstore.NewMemory()
				put(t, memory, "/f/a", "1")
				older := memory.Copy()
				var followed atomic.Pointer[[]store.Entry]
				go func() {
					_ = store.NewClient(memory, 0, 0).Follow(ctx, "/f/", func(entries []store.Entry) { followed.Store(&entries) })
				}()
				synctest.Wait()
				lost := overwrite(t, memory, "/f/a", "2")
				put(t, memory, "/f/b", "lost")
				synctest.Wait()
				calls := memory.Calls()

				memory.Restore(older)
				if breaks {
					memory.CloseWatches()
				}
				assert.Equal(t, overwrite(t, memory, "/f/a", "2 again"), lost, "the revision is given out again")
				time.Sleep(reactionTime)
				synctest.Wait()
				want, err := memory.List(ctx, "/f/")
				assert.NilError(t, err)
				assert.DeepEqual(t, *followed.Load(), want)

				overwrite(t, memory, "/f/a", "3")
				time.Sleep(reactionTime)
				synctest.Wait()
				want, err = memory.List(ctx, "/f/")
				assert.NilError(t, err)
				assert.DeepEqual(t, *followed.Load(), want)
				after := memory.Calls()
				const testReads = 4
				assert.Assert(t, after.Reads+after.Watches-calls.Reads-calls.Watches-testReads <= 4, "%+v after %+v", after, calls)
			})
		})
	}
}

// overwrite writes the value whatever the revision of the key, and returns the new one.
func overwrite(t *testing.T, memory *kvstore.Memory, key, value string) int64 {
	t.Helper()
	current, err := memory.Get(t.Context(), key)
	assert.NilError(t, err)
	revision, err := memory.Swap(t.Context(), key, []byte(value), current.Revision, 0)
	assert.NilError(t, err)
	return revision
}
