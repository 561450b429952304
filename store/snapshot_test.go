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

// Guards against a follower that cannot tell a removal from a change that its watch has skipped, and against one that takes the entries
// of a new era, equal to those before, for the earlier era.
func TestFollowSnapshotsShowRemovalsAndEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		put(t, memory, "/f/a", "1")
		var last store.Snapshot
		go func() {
			_ = store.NewClient(memory, 0, 0).FollowSnapshots(t.Context(), "/f/", func(s store.Snapshot) { last = s })
		}()
		synctest.Wait()
		started := time.Now()
		assert.Check(t, len(last.Entries) == 1 && last.Removed == nil && last.Era == 1 && last.ReadAt.Equal(started), "%+v", last)
		time.Sleep(time.Second)
		put(t, memory, "/f/b", "2")
		synctest.Wait()
		assert.Check(t, len(last.Entries) == 2 && last.Removed == nil && last.ReadAt.Equal(started), "%+v", last)
		written := last.Entries[1].Revision
		assert.NilError(t, memory.Delete(t.Context(), "/f/b", written))
		synctest.Wait()
		assert.Check(t, len(last.Entries) == 1 && len(last.Removed) == 1 && last.Removed[0].Revision > written, "%+v", last)
		assert.Equal(t, last.Removed[0].Key, "/f/b")
		memory.Restore(memory.Copy())
		_, err := memory.List(t.Context(), "/") // another answer shows the era
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Check(t, len(last.Entries) == 1 && last.Era == 2 && last.ReadAt.After(started), "%+v", last)
	})
}

// restoringStore returns from an older copy during its first list.
type restoringStore struct {
	*kvstore.Memory
	lists int
}

func (s *restoringStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, err := s.Memory.List(ctx, prefix)
	if s.lists++; s.lists == 1 {
		s.Restore(s.Copy())
		s.Observe(s.CurrentEra())
	}
	return entries, err
}

// Guards against entries of an earlier era that count as those of a later one, because the era changed during the read.
func TestReadBelongsToOneEra(t *testing.T) {
	memory := kvstore.NewMemory()
	put(t, memory, "/f/a", "1")
	s := &restoringStore{Memory: memory}
	read, err := store.NewClient(s, 0, 0).Read(t.Context(), "/f/")
	assert.NilError(t, err)
	assert.Check(t, read.Era == 2 && s.lists == 2 && len(read.Entries) == 1, "%+v after %d lists", read, s.lists)
}
