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

// conditionalCall is a call whose effect depends on a revision or a lease of one era.
type conditionalCall struct {
	name string
	make func(ctx context.Context, s store.Store, revision int64, id store.LeaseID) error
}

func conditionalCalls() []conditionalCall {
	return []conditionalCall{
		{"swap", func(ctx context.Context, s store.Store, revision int64, id store.LeaseID) error {
			_, err := s.Swap(ctx, "/k", []byte("mine"), revision, id)
			return err
		}},
		{"delete", func(ctx context.Context, s store.Store, revision int64, _ store.LeaseID) error {
			return s.Delete(ctx, "/k", revision)
		}},
		{"renew", func(ctx context.Context, s store.Store, _ int64, id store.LeaseID) error {
			return s.RenewLease(ctx, id)
		}},
		{"revoke", func(ctx context.Context, s store.Store, _ int64, id store.LeaseID) error {
			return s.RevokeLease(ctx, id)
		}},
		{"verify", func(ctx context.Context, s store.Store, revision int64, _ store.LeaseID) error {
			_, err := store.Verify(ctx, s, "/k", revision)
			return err
		}},
	}
}

// restoreUnderRival lets the store return from the copy, and another process obtain the revision and the lease ID again.
func restoreUnderRival(t *testing.T, memory *kvstore.Memory, older kvstore.Copy, revision int64, id store.LeaseID) {
	t.Helper()
	memory.Restore(older)
	rival, err := memory.GrantLease(t.Context(), time.Hour)
	assert.NilError(t, err)
	assert.Equal(t, rival, id, "the lease ID is given out again")
	assert.Equal(t, overwrite(t, memory, "/k", "rival"), revision, "the revision is given out again")
}

// Guards against a write, a renewal or a revocation that names a revision or a lease of an earlier era, and so overwrites a
// change or ends a lease of another process that the store has given the same number.
func TestCallsOfAnEarlierEraAreNotSent(t *testing.T) {
	for _, call := range conditionalCalls() {
		for name, wrap := range map[string]func(store.Store) store.Store{
			"client": func(s store.Store) store.Store { return store.NewClient(s, 0, 0) },
			"other":  func(s store.Store) store.Store { return s },
		} {
			t.Run(call.name+" of "+name, func(t *testing.T) {
				memory := kvstore.NewMemory()
				s := wrap(memory.NewProcess())
				put(t, memory, "/k", "first")
				older := memory.Copy()
				revision := overwrite(t, memory, "/k", "second")
				era := s.Era()
				id, err := s.GrantLease(t.Context(), time.Minute)
				assert.NilError(t, err)
				if era.Current == 0 { // before the first answer
					era = s.Era()
				}
				restoreUnderRival(t, memory, older, revision, id)
				_, err = s.Get(t.Context(), "/any") // the answer shows the era
				assertErrorType(t, err, store.ErrNotFound)
				writes := memory.Calls().Writes
				assertErrorType(t, call.make(t.Context(), store.Within(s, era), revision, id), store.ErrEraEnded)
				assert.Equal(t, memory.Calls().Writes, writes)
				current, err := memory.Get(t.Context(), "/k")
				assert.NilError(t, err)
				assert.Equal(t, string(current.Value), "rival")
			})
		}
	}
}

// Guards against a call of an earlier era that is sent although the return of the store is known, because it was waiting for
// the rate limit of its process.
func TestCallThatWaitedThroughAReturnIsNotSent(t *testing.T) {
	for _, call := range conditionalCalls() {
		t.Run(call.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := kvstore.NewMemory()
				client := store.NewClient(memory, 1, 1)
				put(t, memory, "/k", "first")
				older := memory.Copy()
				revision := overwrite(t, memory, "/k", "second")
				id, err := client.GrantLease(t.Context(), time.Minute)
				assert.NilError(t, err)
				var writes int
				time.AfterFunc(100*time.Millisecond, func() {
					restoreUnderRival(t, memory, older, revision, id) // its answers show the era
					writes = memory.Calls().Writes
				})
				err = call.make(t.Context(), client, revision, id)
				synctest.Wait()
				assertErrorType(t, err, store.ErrEraEnded)
				assert.Equal(t, memory.Calls().Writes, writes)
			})
		})
	}
}

// Guards against a write that counts as done although its own answer shows a later era: its condition compared revisions of two
// eras, and it may have overwritten the change of another process.
func TestWriteWhoseAnswerShowsALaterEraIsUncertain(t *testing.T) {
	for _, call := range conditionalCalls()[:2] {
		t.Run(call.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := kvstore.NewMemory()
				client := store.NewClient(memory.NewProcess(), 0, 0)
				put(t, memory, "/k", "first")
				older := memory.Copy()
				overwrite(t, memory, "/k", "second")
				read, err := client.Get(t.Context(), "/k")
				assert.NilError(t, err)
				memory.Restore(older)
				assert.Equal(t, overwrite(t, memory, "/k", "rival"), read.Revision)
				assertErrorType(t, call.make(t.Context(), client, read.Revision, 0), store.ErrUncertain)
			})
		})
	}
}

// Guards against writes of processes whose service reports no era, or that have not seen one yet, which fail.
func TestCallsWithinAnUnknownEra(t *testing.T) {
	memory := kvstore.NewMemory()
	process := memory.NewProcess()
	unknown := process.Era()
	s := store.Within(process, unknown)
	revision, err := s.Swap(t.Context(), "/k", nil, 0, 0)
	assert.NilError(t, err)
	assert.NilError(t, s.Delete(t.Context(), "/k", revision))
	s = store.Within(memory, store.NoEra{}.Era())
	memory.Restore(memory.Copy())
	_, err = s.Swap(t.Context(), "/k", nil, 0, 0)
	assert.NilError(t, err)
}
