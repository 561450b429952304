package store_test

import (
	"testing"

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

// Guards against a comparison that counts although its own answer shows a later era, in which the store has given the revision to
// another write of the key.
func TestVerifyIsBoundToItsEra(t *testing.T) {
	memory := kvstore.NewMemory()
	client := store.NewClient(memory.NewProcess(), 0, 0)
	put(t, memory, "/k", "first")
	older := memory.Copy()
	overwrite(t, memory, "/k", "second")
	read, err := client.Get(t.Context(), "/k")
	assert.NilError(t, err)
	memory.Restore(older)
	assert.Equal(t, overwrite(t, memory, "/k", "rival"), read.Revision, "the revision is given out again")
	_, err = store.Verify(t.Context(), store.Within(client, client.Era()), "/k", read.Revision)
	assertErrorType(t, err, store.ErrEraEnded)
}
