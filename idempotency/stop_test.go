package idempotency

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// slowSwaps is a store whose writes take effect at once and are answered after a delay.
type slowSwaps struct {
	store.Store
	delay time.Duration
}

func (s slowSwaps) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (int64, error) {
	revision, err := s.Store.Swap(ctx, key, value, revision, lease)
	if !sleep(ctx, s.delay) {
		return 0, store.ErrUncertain.New("swap %s: answer lost", key)
	}
	return revision, err
}

// Guards against a group that stays closed for the store outage because its only member ended in a planned stop while its write
// that created the group was not yet answered, and thus did not leave the group.
func TestPlannedStopLeavesGroupBeingCreated(t *testing.T) {
	for name, delay := range map[string]time.Duration{"late answer": time.Second, "lost answer": storeTimeout + time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { stopDuringCreation(t, delay) })
		})
	}
}

func stopDuringCreation(t *testing.T, answerDelay time.Duration) {
	memory := kvstore.NewMemory()
	self := Identity{ID: "n0", Incarnation: 1}
	k := NewKeeper(self, slowSwaps{memory, answerDelay}, nil)
	k.Update("s", testSetting(), []Peer{{Identity: self, Addr: "n0", Region: "r", Serves: true}})
	for {
		if _, err := memory.Get(t.Context(), StoreKey("s")); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	stopCtx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	k.Stop(stopCtx)
	entry, err := memory.Get(t.Context(), StoreKey("s"))
	assert.NilError(t, err)
	record, err := DecodeRecord(entry.Value)
	assert.NilError(t, err)
	assert.Equal(t, len(record.Members), 0, "members: %v", record.Members)
}

// Guards against a member that does not know that it is one while no request has a key, and then cannot leave the group at its
// planned stop: the previous member wrote the epoch, did not receive the answer of the store and ended.
func TestMemberLearnsRecordWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(2)
		defer f.stop()
		time.Sleep(15 * time.Second)
		first := slices.IndexFunc(f.peers, func(p Peer) bool { return p.Identity == f.record(t).Members[0].Identity })
		f.stopUnanswered(t, first)
		f.restart(first)
		time.Sleep(15 * time.Second)

		second := f.peers[1-first].Identity
		assert.Equal(t, f.record(t).Members[0].Identity, second)
		stopCtx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f.network.keepers[second].Stop(stopCtx)
		f.network.down.Store(second, true)
		f.peers[1-first].Gone, f.peers[1-first].Serves = true, false
		f.update()
		time.Sleep(15 * time.Second)
		verdict, _ := f.claim(first, newKey(time.Now(), 1))
		assert.Equal(t, verdict, Granted)
	})
}

// stopUnanswered stops the node. The store performs the write that ends its epoch, and answers nothing afterwards.
func (f *testFleet) stopUnanswered(t *testing.T, index int) {
	epoch := f.record(t).Epoch
	f.store.SetFaults(kvstore.Faults{DropResponses: true})
	stopCtx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.network.keepers[f.peers[index].Identity].Stop(stopCtx)
	}()
	for f.record(t).Epoch == epoch {
		time.Sleep(10 * time.Millisecond)
	}
	f.store.SetFaults(kvstore.Faults{Down: true})
	<-stopped
	f.store.SetFaults(kvstore.Faults{})
	f.network.down.Store(f.peers[index].Identity, true)
}

// restart starts the node's next incarnation.
func (f *testFleet) restart(index int) {
	p := &f.peers[index]
	p.Incarnation++
	f.network.keepers[p.Identity] = NewKeeper(p.Identity, f.store, f.network.as(p.Identity))
	f.clients[index] = NewClient(f.network.keepers[p.Identity], f.store, f.network.as(p.Identity))
	f.update()
}
