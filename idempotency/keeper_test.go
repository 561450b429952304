package idempotency

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// inProcessPeers delivers messages to keepers in the same process after a delay.
type inProcessPeers struct {
	from    Identity
	keepers map[Identity]*Keeper
	down    *sync.Map // Identity of each unreachable node
	grants  *atomic.Int64
}

func (d inProcessPeers) as(from Identity) *inProcessPeers {
	d.from = from
	return &d
}

func (d *inProcessPeers) reach(ctx context.Context, to Member) (*Keeper, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Millisecond):
	}
	k, ok := d.keepers[to.Identity]
	if !ok || d.isDown(to.Identity) || d.isDown(d.from) {
		return nil, errors.New("unreachable")
	}
	return k, nil
}

func (d *inProcessPeers) isDown(id Identity) bool {
	_, down := d.down.Load(id)
	return down
}

func send[R any](ctx context.Context, d *inProcessPeers, to Member, serve func(*Keeper) R) (reply R, err error) {
	k, err := d.reach(ctx, to)
	if err != nil {
		return reply, err
	}
	return serve(k), nil
}

func (d *inProcessPeers) Claim(ctx context.Context, to Member, r ClaimRequest) (ClaimReply, error) {
	return send(ctx, d, to, func(k *Keeper) ClaimReply { return k.Claim(r) })
}

func (d *inProcessPeers) Settle(ctx context.Context, to Member, r SettleRequest) (SettleReply, error) {
	return send(ctx, d, to, func(k *Keeper) SettleReply { return k.Settle(r) })
}

func (d *inProcessPeers) Grant(ctx context.Context, to Member, r GrantRequest) (GrantReply, error) {
	d.grants.Add(1)
	return send(ctx, d, to, func(k *Keeper) GrantReply { return k.Grant(r) })
}

func (d *inProcessPeers) Seal(ctx context.Context, to Member, r SealRequest) (SealReply, error) {
	return send(ctx, d, to, func(k *Keeper) SealReply { return k.Seal(r) })
}

func (d *inProcessPeers) HandOver(ctx context.Context, to Member, c HandOverChunk) (bool, error) {
	return send(ctx, d, to, func(k *Keeper) bool { return k.AcceptHandOver(c) })
}

func (d *inProcessPeers) Join(ctx context.Context, to Member, r JoinRequest) (bool, error) {
	return send(ctx, d, to, func(k *Keeper) bool { return k.Join(r) })
}

func (d *inProcessPeers) GroupInfo(ctx context.Context, to Member, r GroupInfoRequest) (*Record, error) {
	return send(ctx, d, to, func(k *Keeper) *Record { return k.GroupInfo(r) })
}

func testSetting() ServiceConfig {
	return ServiceConfig{Config: DefaultConfig(), Bounds: Bounds{
		Keys: 1000, AnswerBytes: 1 << 20, Lifetime: 10 * time.Minute, Margin: DefaultMargin,
	}}
}

// newKey returns a UUIDv7 issued at the given time, which may be virtual.
func newKey(at time.Time, serial uint64) Key {
	id := uuid.UUID{}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := range 8 {
		id[8+i] = byte(serial >> (56 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return Key(id[:])
}

type testFleet struct {
	network *inProcessPeers
	store   *kvstore.Memory
	peers   []Peer
	clients []*Client
}

func startFleet(nodes int) *testFleet {
	f := &testFleet{network: &inProcessPeers{keepers: map[Identity]*Keeper{}, down: &sync.Map{}, grants: new(atomic.Int64)}, store: kvstore.NewMemory()}
	for i := range nodes {
		id := Identity{ID: fmt.Sprintf("n%d", i), Incarnation: 1}
		f.peers = append(f.peers, Peer{Identity: id, Addr: id.ID, DataCentre: fmt.Sprintf("dc%d", i%3), Region: "r", Serves: true})
		f.network.keepers[id] = NewKeeper(id, f.store, f.network.as(id))
		f.clients = append(f.clients, NewClient(f.network.keepers[id], f.store, f.network.as(id)))
	}
	f.update()
	return f
}

func (f *testFleet) update() {
	for _, p := range f.peers {
		if !p.Gone {
			f.network.keepers[p.Identity].Update("s", testSetting(), slices.Clone(f.peers))
		}
	}
}

func (f *testFleet) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, k := range f.network.keepers {
		k.Stop(ctx)
	}
}

func (f *testFleet) record(t *testing.T) *Record {
	entry, err := f.store.Get(context.Background(), StoreKey("s"))
	assert.NilError(t, err)
	record, err := DecodeRecord(entry.Value)
	assert.NilError(t, err)
	return record
}

func (f *testFleet) claim(entry int, key Key) (Verdict, Attempt) {
	attempt := NewAttempt()
	verdict, _ := f.clients[entry].Claim(context.Background(), "s", key, attempt, time.Now().Add(10*time.Second))
	return verdict, attempt
}

// Guards against a group that does not start, does not serve or does not survive the loss of its owners
// one after the other, and against one that runs a key again after its owner was lost or stopped.
func TestGroupServesThroughLossAndStop(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { serveThroughLoss(t, nodes) })
		})
	}
}

func serveThroughLoss(t *testing.T, nodes int) {
	f := startFleet(nodes)
	defer f.stop()
	time.Sleep(15 * time.Second)
	key := newKey(time.Now(), 1)
	verdict, attempt := f.claim(0, key)
	assert.Equal(t, verdict, Granted)
	verdict, _ = f.claim(nodes-1, key)
	assert.Equal(t, verdict, InProgress)
	f.clients[0].Settle("s", key, attempt, OutcomeDone, &Answer{Status: 200})
	time.Sleep(time.Second)
	verdict, _ = f.claim(nodes-1, key)
	assert.Equal(t, verdict, Done)

	record := f.record(t)
	assert.Equal(t, len(record.Members), map[int]int{1: 1, 2: 1, 3: 3, 5: 3}[nodes])
	owner := record.Owner(key)
	entry := 0
	for i, p := range f.peers {
		if p.Identity == owner.Identity {
			f.peers[i].Gone, f.peers[i].Serves = true, false
		} else {
			entry = i
		}
	}
	if nodes == 1 {
		return
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	started := time.Now()
	f.network.keepers[owner.Identity].Stop(stopCtx)
	t.Logf("planned stop took %v", time.Since(started))
	f.network.down.Store(owner.Identity, true)
	f.update()
	time.Sleep(3 * time.Second)
	verdict, _ = f.claim(entry, key)
	assert.Equal(t, verdict, Done, "the planned stop handed the table over")
	fresh := newKey(time.Now(), 2)
	verdict, _ = f.claim(entry, fresh)
	assert.Equal(t, verdict, Granted)
	if nodes < 5 {
		return
	}

	record = f.record(t)
	owner = record.Owner(fresh)
	f.network.down.Store(owner.Identity, true) // lost without warning
	for i, p := range f.peers {
		if p.Identity == owner.Identity {
			f.peers[i].Gone, f.peers[i].Serves = true, false
		} else if !p.Gone {
			entry = i
		}
	}
	f.update()
	lost := time.Now()
	for serial := uint64(3); ; serial++ {
		probe := newKey(time.Now(), serial)
		if verdict, _ := f.claim(entry, probe); verdict == Granted && record.Owner(probe).Identity == owner.Identity {
			break
		}
		assert.Assert(t, time.Since(lost) < 15*time.Second)
	}
	t.Logf("new keys of the lost owner are served after %v", time.Since(lost))
	verdict, _ = f.claim(entry, fresh)
	assert.Equal(t, verdict, Closed)
}

// Guards against a record that overwrites that of another node, because it is written with a revision that was read before the
// store returned from an older copy and gave out that revision again.
func TestRecordOfAnEarlierEraIsNotWritten(t *testing.T) {
	memory := kvstore.NewMemory()
	k := NewKeeper(Identity{ID: "n0", Incarnation: 1}, store.NewClient(memory, 0, 0), nil)
	older := memory.Copy()
	write := func(record *Record) int64 {
		revision, err := memory.Swap(t.Context(), StoreKey("s"), record.Encode(), 0, 0)
		assert.NilError(t, err)
		return revision
	}
	own, rival := &Record{Epoch: 1, Outage: 1000, Nonce: "own"}, &Record{Epoch: 1, Outage: 1000, Nonce: "rival"}
	write(own)
	read := k.readRecord("s")
	assert.Assert(t, !read.Failed)
	memory.Restore(older)
	assert.Equal(t, write(rival), read.Revision) // the answer shows the era
	assert.Assert(t, !k.swapRecord("s", SwapRecord{Record: own, Revision: read.Revision, Era: read.Era}).Swapped)
	current, err := memory.Get(t.Context(), StoreKey("s"))
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Value, rival.Encode())

	read = k.readRecord("s")
	assert.Assert(t, k.swapRecord("s", SwapRecord{Record: own, Revision: read.Revision, Era: read.Era}).Swapped)
}

// Guards against a group that is replaced before the mark of its replacement has stood long enough, because the mark of a later
// era of the store has the revision of an earlier one.
func TestMarkOfALaterEraIsObservedAnew(t *testing.T) {
	self, lost := Identity{ID: "n9", Incarnation: 1}, Identity{ID: "n0", Incarnation: 1}
	marked := func(nonce string) *Record {
		return &Record{Epoch: 1, Members: []Member{{Identity: lost, Addr: "n0"}}, Mark: &ReplacementMark{By: lost, Nonce: nonce}}
	}
	const revision, waitTime = 5, time.Hour
	for name, returned := range map[string]bool{"same era": false, "later era": true} {
		t.Run(name, func(t *testing.T) {
			now, clock := time.Now(), NewClock().Now()
			o := NewNonMember(clock, self, "s", DefaultConfig(), 0)
			o.Handle(clock, PeersChanged{Peers: []Peer{{Identity: self, Addr: "n9", Region: "r", Serves: true}}})
			var tracker store.EraTracker
			tracker.Observe(1)
			o.Handle(clock, RecordRead{Record: marked("first"), Revision: revision, Era: tracker.Era()})
			if returned {
				tracker.Observe(2)
			}
			later := Instant{Mono: clock.Mono + waitTime, Wall: now.Add(waitTime)}
			out := o.Handle(later, RecordRead{Record: marked("second"), Revision: revision, Era: tracker.Era()})
			replaces := slices.ContainsFunc(out, func(out Output) bool { _, ok := out.(SwapRecord); return ok }) || o.joinAskedAt != 0
			assert.Equal(t, replaces, !returned)
		})
	}
}

// Guards against an epoch that counts as confirmed by the store because a write of the epoch before it was answered late.
func TestWriteOfAnEarlierEpochDoesNotConfirm(t *testing.T) {
	self := Identity{ID: "n0", Incarnation: 1}
	record := func(epoch uint64) *Record {
		return &Record{Epoch: epoch, Members: []Member{{Identity: self, Addr: "n0"}}, Outage: time.Hour.Milliseconds()}
	}
	clock := NewClock().Now()
	g := NewGroup(self, "s", DefaultConfig(), NewTable(testSetting().Bounds))
	g.Handle(clock, RecordReceived{Record: record(1)})
	g.Handle(clock, RecordReceived{Record: record(2)})
	out := g.Handle(clock, SwapDone{Started: clock, Record: record(1), Revision: 3, Swapped: true})
	assert.Equal(t, len(out), 0, "the older record is sent to members")
	grant := GrantRequest{Service: "s", Epoch: 2, From: self, To: self}
	assert.Assert(t, !g.Grant(clock, grant).Granted)
	g.Handle(clock, SwapDone{Started: clock, Record: record(2), Revision: 4, Swapped: true})
	assert.Assert(t, g.Grant(clock, grant).Granted)
}
