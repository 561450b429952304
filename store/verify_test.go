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

// plainStore hides that a store is a store.Verifier.
type plainStore struct{ store.Store }

// Guards against a comparison that takes a changed key for an unchanged one, with a store that can compare, one that can only read, and
// behind a client.
func TestVerifyComparesTheRevision(t *testing.T) {
	for name, wrap := range map[string]func(*kvstore.Memory) store.Store{
		"verifier":     func(m *kvstore.Memory) store.Store { return m },
		"only reads":   func(m *kvstore.Memory) store.Store { return plainStore{m} },
		"client":       func(m *kvstore.Memory) store.Store { return store.NewClient(m.NewProcess(), 0, 0) },
		"plain client": func(m *kvstore.Memory) store.Store { return store.NewClient(plainStore{m}, 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			s := wrap(memory)
			verify := func(revision int64) bool {
				unchanged, err := store.Verify(t.Context(), s, "/k", revision)
				assert.NilError(t, err)
				return unchanged
			}
			assert.Assert(t, verify(0) && !verify(1), "before the first write")
			put(t, memory, "/k", "first")
			revision := overwrite(t, memory, "/k", "second")
			assert.Assert(t, verify(revision) && !verify(revision-1) && !verify(0))
			overwrite(t, memory, "/k", "third")
			assert.Assert(t, !verify(revision))
			memory.SetFaults(kvstore.Faults{Down: true})
			_, err := store.Verify(t.Context(), s, "/k", revision)
			assertErrorType(t, err, store.ErrUnavailable)
		})
	}
}

// Guards against a comparison with a revision of an earlier era, which the store has given to another write of the key: one that is
// sent although the era is known to have ended, and one whose own answer shows it.
func TestVerifyIsBoundToItsEra(t *testing.T) {
	for name, shown := range map[string]bool{"era known": true, "shown by its answer": false} {
		t.Run(name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			client := store.NewClient(memory.NewProcess(), 0, 0)
			put(t, memory, "/k", "first")
			older := memory.Copy()
			overwrite(t, memory, "/k", "second")
			read, err := client.Get(t.Context(), "/k")
			assert.NilError(t, err)
			era := client.Era()
			memory.Restore(older)
			assert.Equal(t, overwrite(t, memory, "/k", "rival"), read.Revision, "the revision is given out again")
			if shown {
				_, err = client.Get(t.Context(), "/k")
				assert.NilError(t, err)
			}
			writes := memory.Calls().Writes
			_, err = store.Verify(t.Context(), store.Within(client, era), "/k", read.Revision)
			assertErrorType(t, err, store.ErrEraEnded)
			assert.Equal(t, memory.Calls().Writes == writes, shown, "sent")
		})
	}
}

// Guards against comparisons that exceed the rate limit of the process.
func TestVerifyIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		client := store.NewClient(memory, 1, 1)
		for range 5 {
			_, err := client.Verify(t.Context(), "/k", 0)
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := client.Verify(ctx, "/k", 0)
		assertErrorType(t, err, store.ErrRateLimited)
		assert.Equal(t, memory.Calls().Writes, 5)
	})
}
