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

// subject is one implementation of store.Store under the contract.
type subject struct {
	store.Store
	memory *kvstore.Memory
}

// each runs the test over Memory and over the HTTP adapter with the stand-in server.
func each(t *testing.T, test func(t *testing.T, s subject)) {
	t.Run("memory", func(t *testing.T) {
		memory := kvstore.NewMemory()
		test(t, subject{memory, memory})
	})
	t.Run("http", func(t *testing.T) {
		memory := kvstore.NewMemory()
		server := httptest.NewServer(kvstore.NewServer(memory))
		t.Cleanup(server.Close)
		client := kvhttp.NewClient(server.URL, 200*time.Millisecond)
		t.Cleanup(client.Close)
		test(t, subject{client, memory})
	})
}

func is(t *testing.T, err error, kind *errorx.Type) {
	t.Helper()
	assert.Assert(t, store.Is(err, kind), "got %v, want %s", err, kind)
}

// Guards against an adapter whose compare-and-swap, delete or read differs from the interface.
func TestSwapComparesRevision(t *testing.T) {
	each(t, func(t *testing.T, s subject) {
		ctx := t.Context()
		_, err := s.Get(ctx, "/a")
		is(t, err, store.ErrNotFound)
		first, err := s.Swap(ctx, "/a", []byte{0, 1, 0xff}, 0, 0)
		assert.NilError(t, err)
		for _, wrong := range []int64{0, first + 1} {
			_, err = s.Swap(ctx, "/a", []byte("other"), wrong, 0)
			is(t, err, store.ErrConflict)
			is(t, s.Delete(ctx, "/a", wrong), store.ErrConflict)
		}
		second, err := s.Swap(ctx, "/a", nil, first, 0)
		assert.NilError(t, err)
		entry, err := s.Get(ctx, "/a")
		assert.NilError(t, err)
		assert.Equal(t, entry.Revision, second)
		assert.Equal(t, len(entry.Value), 0)
		assert.NilError(t, s.Delete(ctx, "/a", second))
		is(t, s.Delete(ctx, "/a", second), store.ErrConflict)
	})
}

// Guards against a list that misses a key at the edge of the prefix or takes a neighbour.
func TestListKeepsToPrefix(t *testing.T) {
	each(t, func(t *testing.T, s subject) {
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

// Guards against keys that outlive their lease and against a lapse that its holder is not told of.
func TestLeaseRemovesItsKeys(t *testing.T) {
	each(t, func(t *testing.T, s subject) {
		ctx := t.Context()
		id, err := s.GrantLease(ctx, time.Minute)
		assert.NilError(t, err)
		assert.NilError(t, s.RenewLease(ctx, id))
		_, err = s.Swap(ctx, "/l", []byte("x"), 0, id)
		assert.NilError(t, err)
		s.memory.LapseLeases()
		_, err = s.Get(ctx, "/l")
		is(t, err, store.ErrNotFound)
		is(t, s.RenewLease(ctx, id), store.ErrLeaseLapsed)
		_, err = s.Swap(ctx, "/l", []byte("x"), 0, id)
		is(t, err, store.ErrLeaseLapsed)
		assert.NilError(t, s.RevokeLease(ctx, id))
	})
}

// Guards against a watch that misses changes, keeps silent about deletes, or does not end.
func TestWatchDeliversChangesAfterRevision(t *testing.T) {
	each(t, func(t *testing.T, s subject) {
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

// Guards against a fault reported as another one: what did not happen must be told apart from what
// may have happened.
func TestFaultsOfWrites(t *testing.T) {
	cases := []struct {
		name    string
		faults  kvstore.Faults
		memory  *errorx.Type
		http    *errorx.Type
		applied bool
	}{
		{"down", kvstore.Faults{Down: true}, store.ErrUnavailable, store.ErrUncertain, false},
		{"answer lost", kvstore.Faults{LoseAnswers: true}, store.ErrUncertain, store.ErrUncertain, true},
		{"request lost", kvstore.Faults{LoseRequests: true}, store.ErrUncertain, store.ErrUncertain, false},
		{"too slow", kvstore.Faults{Delay: time.Minute}, store.ErrUnavailable, store.ErrUncertain, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			each(t, func(t *testing.T, s subject) {
				s.memory.SetFaults(c.faults)
				want := c.memory
				if _, overHTTP := s.Store.(*kvhttp.Client); overHTTP {
					want = c.http
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				_, err := s.Swap(ctx, "/f", []byte("x"), 0, 0)
				is(t, err, want)
				s.memory.SetFaults(kvstore.Faults{})
				_, err = s.Get(t.Context(), "/f")
				assert.Equal(t, err == nil, c.applied)
			})
		})
	}
}

// Guards against reads that report a write's uncertainty, and against errors without step and peer.
func TestFaultsOfReads(t *testing.T) {
	each(t, func(t *testing.T, s subject) {
		s.memory.SetFaults(kvstore.Faults{Down: true})
		_, err := s.Get(t.Context(), "/f")
		is(t, err, store.ErrUnavailable)
		_, err = s.List(t.Context(), "/f")
		is(t, err, store.ErrUnavailable)
		_, err = s.Watch(t.Context(), "/f", 0)
		is(t, err, store.ErrUnavailable)
		if _, overHTTP := s.Store.(*kvhttp.Client); overHTTP {
			assert.ErrorContains(t, err, "watch /f")
			assert.ErrorContains(t, err, "127.0.0.1")
		}
	})
}

// Guards against a refused connection counted as an uncertain write: nothing was sent.
func TestRefusedDialIsUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	_, err := kvhttp.NewClient(server.URL, 0).Swap(t.Context(), "/f", nil, 0, 0)
	is(t, err, store.ErrUnavailable)
}

// Guards against a watch from a revision whose changes are gone, which must break and not skip.
func TestWatchFromForgottenRevisionBreaks(t *testing.T) {
	each(t, func(t *testing.T, s subject) {
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

// Guards against a call counter that misses calls, or a waiting watch.
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
