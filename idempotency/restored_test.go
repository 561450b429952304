package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stopMember stops a member of the group as planned and reports whether it left the group within the limit.
func (f *testFleet) stopMember(t *testing.T, limit time.Duration) bool {
	leaving := f.record(t).Members[0].Identity
	for i, p := range f.peers {
		if p.Identity == leaving {
			f.peers[i].Gone, f.peers[i].Serves = true, false
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	f.network.keepers[leaving].Stop(ctx)
	left := ctx.Err() == nil
	f.network.down.Store(leaving, true)
	f.update()
	return left
}

// startOlderStore starts a fleet whose store has returned from a copy that lacks the group's last change of epoch, and returns
// that epoch.
func startOlderStore(t *testing.T, nodes int) (*testFleet, uint64) {
	f := startFleet(nodes)
	time.Sleep(15 * time.Second)
	older := f.store.Copy()
	assert.Assert(t, f.stopMember(t, 5*time.Second))
	time.Sleep(nonMemberReadInterval + DefaultReadInterval) // every node reads the record
	epoch := f.record(t).Epoch
	f.store.Restore(older)
	assert.Assert(t, f.record(t).Epoch < epoch)
	return f, epoch
}

// Guards against a group that keeps an epoch which the store no longer has: it is never confirmed again, so that the group
// stops granting, and new nodes read the older members.
func TestGroupWritesBackARecordThatTheStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, epoch := startOlderStore(t, 5)
		defer f.stop()
		time.Sleep(DefaultReadInterval + 2*minReadInterval)
		assert.Assert(t, f.record(t).Epoch >= epoch, "the store has epoch %d", f.record(t).Epoch)
	})
}

// Guards against a change of epoch that waits for ever for its read of the store, because the record read is older than the
// known one.
func TestMemberLeavesAfterTheStoreReturnedFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, epoch := startOlderStore(t, 5)
		defer f.stop()
		known := f.network.keepers[f.record(t).Members[1].Identity].GroupInfo(GroupInfoRequest{Service: "s"})
		assert.Equal(t, known.Epoch, epoch)
		leaving := known.Members[0].Identity
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f.network.keepers[leaving].Stop(ctx)
		assert.NilError(t, ctx.Err(), "the member did not leave the group")
		current := f.record(t)
		_, member := current.Member(leaving)
		assert.Assert(t, current.Epoch > epoch && !member, "epoch %d", current.Epoch)
	})
}

// Guards against an orphaned group that is never replaced, because its last record is not in the store any more.
func TestOrphanedGroupIsReplacedAfterTheStoreReturnedFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, epoch := startOlderStore(t, 5)
		defer f.stop()
		var known *Record
		for _, k := range f.network.keepers {
			if record := k.GroupInfo(GroupInfoRequest{Service: "s"}); record != nil && (known == nil || record.Epoch > known.Epoch) {
				known = record
			}
		}
		assert.Equal(t, known.Epoch, epoch)
		for _, m := range known.Members {
			f.network.down.Store(m.Identity, true)
			for i, p := range f.peers {
				if p.Identity == m.Identity {
					f.peers[i].Gone, f.peers[i].Serves = true, false
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			f.network.keepers[m.Identity].Stop(ctx)
		}
		f.update()
		time.Sleep(withDrift(DefaultStoreOutage+markMargin) + 10*time.Minute)
		assert.Assert(t, f.record(t).Epoch > epoch, "the store has epoch %d", f.record(t).Epoch)
	})
}

// Guards against a second group beside the one that serves, which runs keys again: the store has returned from a copy without the
// record, and a node outside the group takes that for the first start.
func TestNoSecondGroupAfterTheStoreLostTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(5)
		defer f.stop()
		empty := f.store.Copy()
		time.Sleep(15 * time.Second)
		serving := f.record(t)
		f.store.Restore(empty)
		time.Sleep(DefaultReadInterval + 2*minReadInterval)
		entry, err := f.store.Get(t.Context(), StoreKey("s"))
		assert.NilError(t, err)
		assert.DeepEqual(t, entry.Value, serving.Encode())
		time.Sleep(2 * nonMemberReadInterval)
		assert.Equal(t, f.record(t).Nonce, serving.Nonce)
	})
}

// Guards against a group that is created anew by a node which knows the lost one, while members of that one may still serve.
func TestLostGroupIsNotCreatedAnew(t *testing.T) {
	self, member := Identity{ID: "n9", Incarnation: 1}, Identity{ID: "n0", Incarnation: 1}
	peers := []Peer{
		{Identity: self, Addr: "n9", Region: "r", Serves: true},
		{Identity: member, Addr: "n0", Region: "r", Serves: true},
	}
	known := &Record{Epoch: 3, Region: "r", Members: []Member{{Identity: member, Addr: "n0"}}, Outage: time.Hour.Milliseconds()}
	for name, gone := range map[string]bool{"group serves": false, "group is lost": true} {
		t.Run(name, func(t *testing.T) {
			clock := NewClock().Now()
			peers[1].Gone = gone
			o := NewNonMember(clock, self, "s", DefaultConfig(), 0)
			o.Handle(clock, PeersChanged{Peers: peers})
			o.Handle(clock, RecordReceived{Record: known})
			out := o.Handle(clock, RecordRead{})
			assert.Equal(t, o.joinAskedAt, time.Duration(0), "a new group is formed")
			if !gone {
				assert.DeepEqual(t, out, []Output{SendRecord{To: known.Members[0], Record: known}})
				return
			}
			assert.Equal(t, len(out), 1)
			written := out[0].(SwapRecord)
			assert.Equal(t, written.Revision, int64(0))
			assert.Equal(t, written.Record.Epoch, known.Epoch)
			assert.Equal(t, written.Record.Mark.By, self)
		})
	}
}
