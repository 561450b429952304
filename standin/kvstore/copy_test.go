package kvstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// Guards against a stand-in that keeps writes, leases, revisions or history that a return to an older copy discards, and
// that so hides faults of its clients.
func TestRestoreDiscardsWhatIsNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		memory := kvstore.NewMemory()
		held, err := memory.GrantLease(ctx, 10*time.Second)
		assert.NilError(t, err)
		created, err := memory.Swap(ctx, "/a", []byte("0"), 0, held)
		assert.NilError(t, err)
		first, err := memory.Swap(ctx, "/a", []byte("1"), created, held)
		assert.NilError(t, err)
		older := memory.Copy()
		lost, err := memory.GrantLease(ctx, time.Minute)
		assert.NilError(t, err)
		second, err := memory.Swap(ctx, "/a", []byte("2"), first, lost)
		assert.NilError(t, err)
		_, err = memory.Swap(ctx, "/b", []byte("b"), 0, 0)
		assert.NilError(t, err)
		status := memory.Era()

		memory.Restore(older)
		assert.Equal(t, memory.CurrentEra(), status.Current+1)
		assert.Assert(t, !status.Ended(), "no answer has shown the new era")
		entries, err := memory.List(ctx, "/")
		assert.NilError(t, err)
		assert.DeepEqual(t, entries, []store.Entry{{Key: "/a", Value: []byte("1"), Revision: first, Lease: held}})
		assert.Assert(t, status.Ended())
		assert.Equal(t, memory.Era().Previous, status.Current)

		assertErrorType(t, memory.RenewLease(ctx, lost), store.ErrLeaseLapsed)
		assert.NilError(t, memory.RenewLease(ctx, held))
		for _, after := range []int64{created, second} {
			events, err := memory.Watch(ctx, "/", after)
			assert.NilError(t, err)
			_, open := <-events
			assert.Assert(t, !open, "a watch from revision %d", after)
		}
		again, err := memory.Swap(ctx, "/a", []byte("3"), first, 0)
		assert.NilError(t, err)
		assert.Equal(t, again, second, "the revision is given out again")
		reissued, err := memory.GrantLease(ctx, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, reissued, lost, "the lease ID is given out again")
	})
}
