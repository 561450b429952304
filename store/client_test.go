package store_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// Guards against an uncertain write that is reported with the wrong outcome or executed twice.
func TestUncertainSwapIsResolved(t *testing.T) {
	cases := []struct {
		name   string
		faults kvstore.Faults
		during func(ctx context.Context, memory *kvstore.Memory, revision int64) // called when the fault ends
		want   bool
	}{
		{"response lost", kvstore.Faults{DropResponses: true}, nil, true},
		{"request lost", kvstore.Faults{DropRequests: true}, nil, true},
		{"response lost, then overwritten", kvstore.Faults{DropResponses: true}, func(ctx context.Context, memory *kvstore.Memory, _ int64) {
			entry, _ := memory.Get(ctx, "/k")
			_, _ = memory.Swap(ctx, "/k", []byte("rival"), entry.Revision, 0)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := kvstore.NewMemory()
				client := store.NewClient(memory, 0, 0)
				first, err := client.Swap(t.Context(), "/k", []byte("one"), 0, 0)
				assert.NilError(t, err)
				memory.SetFaults(c.faults)
				time.AfterFunc(10*time.Millisecond, func() {
					memory.SetFaults(kvstore.Faults{})
					if c.during != nil {
						c.during(t.Context(), memory, first)
					}
				})
				second, err := client.Swap(t.Context(), "/k", []byte("two"), first, 0)
				current, readErr := memory.Get(t.Context(), "/k")
				assert.NilError(t, readErr)
				if !c.want {
					assert.Assert(t, store.Is(err, store.ErrUncertain), "got %v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, current.Revision, second)
				assert.Equal(t, second, first+1)
			})
		})
	}
}

// Guards against a repeated uncertain delete that removes a value written in the meantime.
func TestUncertainDeleteIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		client := store.NewClient(memory, 0, 0)
		revision, err := client.Swap(t.Context(), "/k", []byte("one"), 0, 0)
		assert.NilError(t, err)
		memory.SetFaults(kvstore.Faults{DropResponses: true})
		time.AfterFunc(10*time.Millisecond, func() {
			memory.SetFaults(kvstore.Faults{})
			_, _ = memory.Swap(t.Context(), "/k", []byte("new"), 0, 0)
		})
		assert.NilError(t, client.Delete(t.Context(), "/k", revision))
		current, err := memory.Get(t.Context(), "/k")
		assert.NilError(t, err)
		assert.Equal(t, string(current.Value), "new")
	})
}

// Guards against a process that exceeds its rate limit at the store.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		client := store.NewClient(memory, 5, 10)
		start := time.Now()
		for range 60 {
			_, _ = client.Get(t.Context(), "/k")
		}
		assert.Equal(t, time.Since(start), 10*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := client.Get(ctx, "/k")
		assert.Assert(t, store.Is(err, store.ErrUnavailable), "got %v", err)
	})
}

// Guards against a change that Follow misses: after each fault the followed entries must equal those of the
// store within the given time.
func TestFollowMissesNoChange(t *testing.T) {
	cases := []struct {
		name   string
		faults kvstore.Faults
		breaks bool
		within time.Duration // after the fault has ended
	}{
		{"healthy", kvstore.Faults{}, false, 0},
		{"watch breaks", kvstore.Faults{}, true, store.ResyncInterval},
		{"watch silent", kvstore.Faults{DropEvents: true}, false, store.ResyncInterval},
		{"watch stalls", kvstore.Faults{HoldEvents: true}, false, 0},
		{"watch skips", kvstore.Faults{SkipEvents: 2}, false, store.ResyncInterval},
		{"slow", kvstore.Faults{Delay: 2 * time.Second}, true, 10 * time.Second},
		{"down for an hour", kvstore.Faults{Down: true}, true, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := kvstore.NewMemory()
				put(t, memory, "/f/old", "1")
				var followed atomic.Pointer[[]store.Entry]
				go func() {
					_ = store.NewClient(memory, 0, 0).Follow(t.Context(), "/f/", func(entries []store.Entry) { followed.Store(&entries) })
				}()
				synctest.Wait()
				if c.faults.Down {
					memory.CloseWatches()
				}
				memory.SetFaults(c.faults)
				time.Sleep(time.Hour)
				memory.SetFaults(kvstore.Faults{DropEvents: c.faults.DropEvents, SkipEvents: c.faults.SkipEvents, HoldEvents: c.faults.HoldEvents})
				for i := range 4 {
					put(t, memory, fmt.Sprintf("/f/%d", i), "x")
				}
				entry, err := memory.Get(t.Context(), "/f/old")
				assert.NilError(t, err)
				assert.NilError(t, memory.Delete(t.Context(), "/f/old", entry.Revision))
				if c.breaks {
					memory.CloseWatches()
				}
				memory.SetFaults(kvstore.Faults{})
				time.Sleep(c.within)
				synctest.Wait()
				want, err := memory.List(t.Context(), "/f/")
				assert.NilError(t, err)
				assert.DeepEqual(t, *followed.Load(), want)
			})
		})
	}
}

func put(t *testing.T, memory *kvstore.Memory, key, value string) {
	t.Helper()
	_, err := memory.Swap(t.Context(), key, []byte(value), 0, 0)
	assert.NilError(t, err)
}

// Guards against a follower that sends too many calls while nothing changes or while the store is down.
func TestFollowLimitsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		go func() { _ = store.NewClient(memory, 0, 0).Follow(t.Context(), "/f/", func([]store.Entry) {}) }()
		time.Sleep(time.Hour)
		idle := memory.Calls()
		assert.Assert(t, idle.Reads <= 3600/27+1, "%d reads in an idle hour", idle.Reads)
		assert.Equal(t, idle.Watches, 1)
		memory.SetFaults(kvstore.Faults{Down: true})
		memory.CloseWatches()
		time.Sleep(time.Hour)
		down := memory.Calls()
		attempts := down.Reads + down.Watches - idle.Reads - idle.Watches
		assert.Assert(t, attempts < 1200, "%d attempts in an hour of outage", attempts)
	})
}

// Guards against a node that tells the others that it has lost the store when it only stops following it.
func TestEndOfFollowIsNoLossOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, delay := range map[string]time.Duration{"while it follows": time.Second, "while it waits for the rate limit": 0} {
			var reports []bool
			client := store.NewClient(kvstore.NewMemory(), 1, 1)
			client.OnReachable = func(reached bool) { reports = append(reports, reached) }
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = client.Follow(ctx, "/f/", func([]store.Entry) {}) }()
			time.Sleep(2*delay + time.Millisecond)
			cancel()
			synctest.Wait()
			assert.Assert(t, !slices.Contains(reports, false), "ended %s: %v", name, reports)
		}
	})
}

// Guards against a session whose keys are not written again after its lease lapsed, and against one that still
// reports the lease as held while the store is unreachable.
func TestSessionReplacesLapsedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		session := store.NewSession(memory, 9*time.Second)
		var ids []store.LeaseID
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_ = session.Run(ctx, func(ctx context.Context, granted store.Store, id store.LeaseID) error {
				ids = append(ids, id)
				_, err := granted.Swap(ctx, "/s", []byte("me"), 0, id)
				return err
			})
		}()
		time.Sleep(time.Minute)
		_, held := session.Lease()
		assert.Assert(t, held)
		memory.ExpireAllLeases()
		time.Sleep(10 * time.Second)
		_, err := memory.Get(t.Context(), "/s")
		assert.NilError(t, err)
		memory.SetFaults(kvstore.Faults{Down: true})
		time.Sleep(9 * time.Second)
		_, held = session.Lease()
		assert.Assert(t, !held)
		memory.SetFaults(kvstore.Faults{})
		time.Sleep(20 * time.Second)
		_, held = session.Lease()
		assert.Assert(t, held)
		assert.Assert(t, len(slices.Compact(ids)) >= 3, "leases %v", ids)
		cancel()
		synctest.Wait()
		_, err = memory.Get(t.Context(), "/s")
		assert.Assert(t, store.Is(err, store.ErrNotFound), "the key must be removed when the session ends: %v", err)
	})
}

// Guards against many processes that overload a store that is down with retries, and against a process that keeps waiting after
// another process has reached the store.
func TestSessionBacksOffAndIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		session := store.NewSession(memory, time.Minute)
		wake := make(chan struct{}, 1)
		var reached []bool
		session.MaxRetryDelay, session.Wake = 20*time.Second, wake
		session.OnReachable = func(ok bool) { reached = append(reached, ok) }
		memory.SetFaults(kvstore.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_ = session.Run(ctx, func(context.Context, store.Store, store.LeaseID) error { return nil }) // the error of ctx
		}()
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		calls := memory.Calls()
		assert.Assert(t, calls.Reads+calls.Writes < 60, "%+v calls in five minutes", calls)
		assert.Assert(t, !slices.Contains(reached, true))
		memory.SetFaults(kvstore.Faults{})
		wake <- struct{}{}
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		_, held := session.Lease()
		assert.Assert(t, held)
		assert.Assert(t, reached[len(reached)-1])
		cancel()
		synctest.Wait()
	})
}

// Guards against a process that believes for several seconds that it does not reach the store, and does not notice its return
// from an older copy, because its lease is not due for renewal when another process has reached the store.
func TestSessionRenewsWhenWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kvstore.NewMemory()
		session := store.NewSession(store.NewClient(memory, 0, 0), time.Minute)
		wake, reached := make(chan struct{}, 1), 0
		session.Wake = wake
		session.OnReachable = func(ok bool) { reached++ }
		go func() { // the error of ctx
			_ = session.Run(t.Context(), func(context.Context, store.Store, store.LeaseID) error { return nil })
		}()
		synctest.Wait()
		assert.Equal(t, reached, 1)
		wake <- struct{}{}
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, reached, 2)
		time.Sleep(19 * time.Second)
		synctest.Wait()
		assert.Equal(t, reached, 2)
	})
}
