package datacentre

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// Guards against a border node that renews and at last revokes the lease of another process, because the store has returned
// from an older copy and has given out the ID of its lease again.
func TestContactIsWrittenAgainInANewEra(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		ctx, kv := context.Background(), kvstore.NewMemory()
		n.store = kv
		older := kv.Copy()
		m := n.start(record("dc-1", "r", 0), nil)
		time.Sleep(time.Minute)
		contacts, err := kv.List(ctx, contactPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(contacts), 1)

		kv.Restore(older)
		rival, err := kv.GrantLease(ctx, time.Hour)
		assert.NilError(t, err)
		assert.Equal(t, rival, contacts[0].Lease)
		_, err = kv.Swap(ctx, "rival", nil, 0, rival)
		assert.NilError(t, err)
		time.Sleep(contactRenewInterval)
		contacts, err = kv.List(ctx, contactPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(contacts), 1)
		m.stop()
		<-m.done
		_, err = kv.Get(ctx, "rival")
		assert.NilError(t, err, "the lease of another process was revoked")
	})
}

// Guards against a border node that renews the lease of another process, although it knows that the store has returned from an
// older copy and has given out the ID of its lease again.
func TestContactLeaseOfAnEarlierEraIsNotRenewed(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		const rivalTTL = 15 * time.Second
		ctx, kv := context.Background(), kvstore.NewMemory()
		n.store = kv
		older := kv.Copy()
		m := n.start(record("dc-1", "r", 0), nil)
		time.Sleep(time.Minute)
		contacts, err := kv.List(ctx, contactPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(contacts), 1)

		kv.Restore(older)
		rival, err := kv.GrantLease(ctx, rivalTTL) // the answer shows the era
		assert.NilError(t, err)
		assert.Equal(t, rival, contacts[0].Lease)
		_, err = kv.Swap(ctx, "rival", nil, 0, rival)
		assert.NilError(t, err)
		time.Sleep(rivalTTL + time.Second)
		_, err = kv.Get(ctx, "rival")
		assert.Assert(t, store.Is(err, store.ErrNotFound), "the lease of another process was renewed: %v", err)
		m.stop()
		<-m.done
	})
}

// Guards against a border node whose contact stays away until its next renewal, although the node knows that the store has
// returned from an older copy without it.
func TestContactIsBackSoonInANewEra(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		ctx, kv := context.Background(), kvstore.NewMemory()
		n.store = kv
		older := kv.Copy()
		m := n.start(record("dc-1", "r", 0), nil)
		time.Sleep(time.Minute)
		kv.Restore(older)
		_, err := kv.Get(ctx, "any") // the answer shows the era
		assert.Assert(t, store.Is(err, store.ErrNotFound))
		time.Sleep(2 * time.Second)
		contacts, err := kv.List(ctx, contactPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(contacts), 1)
		m.stop()
		<-m.done
	})
}

// storeReturningAfterGrant returns from the copy after the first grant of a lease, and gives the lease to another process.
type storeReturningAfterGrant struct {
	*kvstore.Memory
	older       kvstore.Copy
	rival       store.LeaseID // 0 before the return
	rivalWrites int           // writes of this process under the lease of the other
}

func (s *storeReturningAfterGrant) Swap(ctx context.Context, key string, value []byte, revision int64, id store.LeaseID) (int64, error) {
	if id == s.rival {
		s.rivalWrites++
	}
	return s.Memory.Swap(ctx, key, value, revision, id)
}

func (s *storeReturningAfterGrant) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	id, err := s.Memory.GrantLease(ctx, ttl)
	if err != nil || s.rival != 0 {
		return id, err
	}
	s.Restore(s.older)
	if s.rival, err = s.Memory.GrantLease(ctx, time.Hour); err != nil { // the answer shows the era
		return 0, err
	}
	return id, nil
}

// Guards against a border node that writes its contact under the lease of another process, because the store returned from an
// older copy between the grant and the write and gave the lease ID out again.
func TestContactIsNotWrittenUnderALeaseOfAnEarlierEra(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		kv := kvstore.NewMemory()
		returning := &storeReturningAfterGrant{Memory: kv, older: kv.Copy()}
		n.store = returning
		m := n.start(record("dc-1", "r", 0), nil)
		time.Sleep(time.Minute)
		contacts, err := kv.List(context.Background(), contactPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(contacts), 1)
		assert.Assert(t, returning.rival != 0)
		assert.Equal(t, returning.rivalWrites, 0, "writes under the lease of another process")
		m.stop()
		<-m.done
	})
}
