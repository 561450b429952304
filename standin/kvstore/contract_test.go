package kvstore_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
)

// storeUnderTest is one implementation of store.Store with the Memory behind it.
type storeUnderTest struct {
	store.Store
	memory *kvstore.Memory
}

// forEachStore runs the test against Memory, against the view of one process and against the HTTP adapter with the stand-in server.
func forEachStore(t *testing.T, test func(t *testing.T, s storeUnderTest)) {
	t.Run("memory", func(t *testing.T) {
		memory := kvstore.NewMemory()
		test(t, storeUnderTest{memory, memory})
	})
	t.Run("process", func(t *testing.T) {
		memory := kvstore.NewMemory()
		test(t, storeUnderTest{memory.NewProcess(), memory})
	})
	t.Run("http", func(t *testing.T) {
		memory := kvstore.NewMemory()
		server := httptest.NewServer(kvstore.NewServer(memory))
		t.Cleanup(server.Close)
		client := kvhttp.NewClient(server.URL, 200*time.Millisecond)
		t.Cleanup(client.Close)
		test(t, storeUnderTest{client, memory})
	})
}

func assertErrorType(t *testing.T, err error, kind *errorx.Type) {
	t.Helper()
	assert.Assert(t, store.Is(err, kind), "got %v, want %s", err, kind)
}

// Guards against an adapter whose compare-and-swap, delete or read differs from the interface.
func TestSwapComparesRevision(t *testing.T) {
	forEachStore(t, func(t *testing.T, s storeUnderTest) {
		ctx := t.Context()
		_, err := s.Get(ctx, "/a")
		assertErrorType(t, err, store.ErrNotFound)
		first, err := s.Swap(ctx, "/a", []byte{0, 1, 0xff}, 0, 0)
		assert.NilError(t, err)
		for _, wrong := range []int64{0, first + 1} {
			_, err = s.Swap(ctx, "/a", []byte("other"), wrong, 0)
			assertErrorType(t, err, store.ErrConflict)
			assertErrorType(t, s.Delete(ctx, "/a", wrong), store.ErrConflict)
		}
		second, err := s.Swap(ctx, "/a", nil, first, 0)
		assert.NilError(t, err)
		entry, err := s.Get(ctx, "/a")
		assert.NilError(t, err)
		assert.Equal(t, entry.Revision, second)
		assert.Equal(t, len(entry.Value), 0)
		assert.NilError(t, s.Delete(ctx, "/a", second))
		assertErrorType(t, s.Delete(ctx, "/a", second), store.ErrConflict)
	})
}

// Guards against a list that misses the last key of the prefix or includes keys outside of it.
func TestListReturnsOnlyPrefix(t *testing.T) {
	forEachStore(t, func(t *testing.T, s storeUnderTest) {
		for _, key := range []string{"/p/b", "/p/a", "/p/\xff", "/p0", "/q", "/p"} {
			_, err := s.Swap(t.Context(), key, []byte(key), 0, 0)
			assert.NilError(t, err)
		}
		entries, err := s.List(t.Context(), "/p/")
		assert.NilError(t, err)
		var keys []string
		for _, entry := range entries {
			assert.Equal(t, string(entry.Value), entry.Key)
			keys = append(keys, entry.Key)
		}
		assert.DeepEqual(t, keys, []string{"/p/a", "/p/b", "/p/\xff"})
	})
}

// Guards against keys that outlive their lease, and against calls that succeed with a lapsed lease.
func TestLeaseRemovesItsKeys(t *testing.T) {
	forEachStore(t, func(t *testing.T, s storeUnderTest) {
		ctx := t.Context()
		id, err := s.GrantLease(ctx, time.Minute)
		assert.NilError(t, err)
		assert.NilError(t, s.RenewLease(ctx, id))
		written, err := s.Swap(ctx, "/l", []byte("x"), 0, id)
		assert.NilError(t, err)
		entry, err := s.Get(ctx, "/l")
		assert.NilError(t, err)
		assert.DeepEqual(t, entry, store.Entry{Key: "/l", Value: []byte("x"), Revision: written, Lease: id})
		s.memory.ExpireAllLeases()
		_, err = s.Get(ctx, "/l")
		assertErrorType(t, err, store.ErrNotFound)
		assertErrorType(t, s.RenewLease(ctx, id), store.ErrLeaseLapsed)
		_, err = s.Swap(ctx, "/l", []byte("x"), 0, id)
		assertErrorType(t, err, store.ErrLeaseLapsed)
		assert.NilError(t, s.RevokeLease(ctx, id))
	})
}

// Guards against a watch that misses changes or deletes, or whose channel stays open after its context ended.
func TestWatchDeliversChangesAfterRevision(t *testing.T) {
	forEachStore(t, func(t *testing.T, s storeUnderTest) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, err := s.Swap(ctx, "/w/a", []byte("1"), 0, 0)
		assert.NilError(t, err)
		second, err := s.Swap(ctx, "/w/a", []byte("2"), first, 0)
		assert.NilError(t, err)
		now, err := s.Watch(ctx, "/w/", 0)
		assert.NilError(t, err)
		past, err := s.Watch(ctx, "/w/", first)
		assert.NilError(t, err)
		_, err = s.Swap(ctx, "/other", nil, 0, 0)
		assert.NilError(t, err)
		assert.NilError(t, s.Delete(ctx, "/w/a", second))

		event := <-past
		assert.Equal(t, event.Entry.Revision, second)
		assert.Equal(t, string(event.Entry.Value), "2")
		for _, events := range []<-chan store.Event{past, now} {
			event = <-events
			assert.Assert(t, event.Deleted)
			assert.Equal(t, event.Entry.Key, "/w/a")
		}
		cancel()
		_, open := <-now
		assert.Assert(t, !open)
	})
}

// Guards against a write with an unknown outcome that is reported as not applied, or the reverse.
func TestFaultsOfWrites(t *testing.T) {
	cases := []struct {
		name    string
		faults  kvstore.Faults
		memory  *errorx.Type
		http    *errorx.Type
		applied bool
	}{
		{"down", kvstore.Faults{Down: true}, store.ErrUnavailable, store.ErrUncertain, false},
		{"answer lost", kvstore.Faults{DropResponses: true}, store.ErrUncertain, store.ErrUncertain, true},
		{"request lost", kvstore.Faults{DropRequests: true}, store.ErrUncertain, store.ErrUncertain, false},
		{"too slow", kvstore.Faults{Delay: time.Minute}, store.ErrUnavailable, store.ErrUncertain, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachStore(t, func(t *testing.T, s storeUnderTest) {
				s.memory.SetFaults(c.faults)
				want := c.memory
				if _, overHTTP := s.Store.(*kvhttp.Client); overHTTP {
					want = c.http
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				_, err := s.Swap(ctx, "/f", []byte("x"), 0, 0)
				assertErrorType(t, err, want)
				s.memory.SetFaults(kvstore.Faults{})
				_, err = s.Get(t.Context(), "/f")
				assert.Equal(t, err == nil, c.applied)
			})
		})
	}
}

// Guards against reads that fail with ErrUncertain, which only a write may, and against errors that do not name the
// operation and the address.
func TestFaultsOfReads(t *testing.T) {
	forEachStore(t, func(t *testing.T, s storeUnderTest) {
		s.memory.SetFaults(kvstore.Faults{Down: true})
		_, err := s.Get(t.Context(), "/f")
		assertErrorType(t, err, store.ErrUnavailable)
		_, err = s.List(t.Context(), "/f")
		assertErrorType(t, err, store.ErrUnavailable)
		_, err = s.Watch(t.Context(), "/f", 0)
		assertErrorType(t, err, store.ErrUnavailable)
		if _, overHTTP := s.Store.(*kvhttp.Client); overHTTP {
			assert.ErrorContains(t, err, "watch /f")
			assert.ErrorContains(t, err, "127.0.0.1")
		}
	})
}

// Guards against ErrUncertain for a write whose connection was refused: nothing was sent.
func TestRefusedDialIsUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	_, err := kvhttp.NewClient(server.URL, 0).Swap(t.Context(), "/f", nil, 0, 0)
	assertErrorType(t, err, store.ErrUnavailable)
}

// Guards against a watch from a revision that is no longer in the history: it must close and not skip changes.
func TestWatchFromCompactedRevisionCloses(t *testing.T) {
	forEachStore(t, func(t *testing.T, s storeUnderTest) {
		revision := int64(0)
		for range 2000 {
			revision, _ = s.memory.Swap(t.Context(), "/w", nil, revision, 0)
		}
		events, err := s.Watch(t.Context(), "/w", 1)
		assert.NilError(t, err)
		_, open := <-events
		assert.Assert(t, !open)
	})
}

// Guards against a load that leaves out calls or open watches.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		_, err := memory.Watch(t.Context(), "/w", 0)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		for range 30 {
			_, _ = memory.Get(t.Context(), "/w")
			time.Sleep(100 * time.Millisecond)
		}
		last, peak := memory.Load()
		assert.Equal(t, last, 11)
		assert.Equal(t, peak, 11)
	})
}
