package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// Guards against a session that writes its key under the lease of another process, and then takes that lease for its own,
// because the store returned from an older copy between the grant and the write and gave the lease ID out again.
func TestKeyIsNotWrittenUnderALeaseOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 9 * time.Second
		memory := kvstore.NewMemory()
		older := memory.Copy()
		session := store.NewSession(memory, ttl)
		session.KeysKept = func(ctx context.Context, id store.LeaseID) bool {
			return store.IsKept(ctx, memory, "/own", []byte("me"), id)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var rival store.LeaseID
		go func() {
			_ = session.Run(ctx, func(ctx context.Context, granted store.Store, id store.LeaseID) error { // the error of ctx
				if rival == 0 {
					memory.Restore(older)
					var err error
					rival, err = memory.GrantLease(ctx, time.Hour) // the answer shows the era
					assert.Check(t, err)
					assert.Check(t, rival == id, "the lease ID is given out again")
					_, err = memory.Swap(ctx, "/rival", nil, 0, rival)
					assert.Check(t, err)
				}
				return store.Put(ctx, granted, "/own", []byte("me"), id)
			})
		}()
		time.Sleep(2 * ttl)
		synctest.Wait()
		own, err := memory.Get(t.Context(), "/own")
		assert.NilError(t, err)
		assert.Check(t, own.Lease != rival, "the key was written under the lease of another process")
		cancel()
		synctest.Wait()
		_, err = memory.Get(t.Context(), "/rival")
		assert.NilError(t, err, "the lease of another process was revoked")
	})
}
