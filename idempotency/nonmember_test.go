package idempotency

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against an orphaned group that nobody replaces for minutes: the first-ranked node outside knows it only from before it
// shrank, and takes the members that are left for a majority.
func TestLostMemberMakesFirstRankedNodeRead(t *testing.T) {
	now := Instant{Mono: time.Hour, Wall: simEpoch}
	lost, present, self := Identity{ID: "n1", Incarnation: 1}, Identity{ID: "n2", Incarnation: 1}, Identity{ID: "n3", Incarnation: 1}
	peersWith := func(lostGone bool) PeersChanged {
		peer := func(id Identity, gone bool) Peer { return Peer{Identity: id, Region: "r", Serves: !gone, Gone: gone} }
		return PeersChanged{Peers: []Peer{
			peer(lost, lostGone), peer(present, false), peer(Identity{ID: "n0", Incarnation: 1}, false), peer(self, false),
		}}
	}
	o := NewNonMember(now, self, "s", simConfig, 0)
	o.Handle(now, peersWith(false))
	o.Handle(now, RecordRead{Record: &Record{Epoch: 1, Region: "r", Outage: 1, Members: []Member{
		{Identity: lost}, {Identity: present, Slot: 1}, {Identity: Identity{ID: "n0", Incarnation: 1}, Slot: 2},
	}}, Revision: 1})
	now.Mono += 2 * minReadInterval
	o.nextRead = now.Mono + nonMemberReadInterval
	assert.Equal(t, len(o.Handle(now, Tick{})), 0)
	o.Handle(now, peersWith(true))
	assert.DeepEqual(t, o.Handle(now, Tick{}), []Output{ReadRecord{}})
}

// Guards against the same group in a simulation: a node that is taken for gone leaves the group for a while, and one of the two
// members left restarts.
func TestShrunkGroupIsReplaced(t *testing.T) {
	plan := []fault{
		{kind: "entry-crash", target: 2, at: 5200 * time.Millisecond, length: 600 * time.Millisecond},
		{kind: "false-gone", target: 0, at: 46800 * time.Millisecond, length: 1600 * time.Millisecond},
		{kind: "crash", target: 1, at: 51400 * time.Millisecond, length: 100 * time.Millisecond},
	}
	_, err := simulate(0x268b95, 4, plan, mutation{})
	assert.NilError(t, err)
}

// Guards against an orphaned group that nobody replaces: the first-ranked node outside was a member, was sent the record of the
// epoch without it, and still takes itself for a member where it would replace the group.
func TestFormerMemberKnowsThatItIsOutside(t *testing.T) {
	self, other := Identity{ID: "n1", Incarnation: 1}, Identity{ID: "n2", Incarnation: 1}
	unreachable := &inProcessPeers{from: self, down: &sync.Map{}, grants: new(atomic.Int64)}
	k := NewKeeper(self, kvstore.NewMemory(), unreachable)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	defer k.Stop(ended)
	s := &serviceKeeper{
		service: "s", wake: make(chan struct{}, 1), table: NewTable(simBounds),
		nonMember: NewNonMember(k.clock.Now(), self, "s", simConfig, 0),
	}
	s.group = NewGroup(self, "s", simConfig, s.table)
	k.services.GetOrCreate("s", func() *serviceKeeper { return s })
	for i, member := range []Identity{self, other} {
		record := &Record{Epoch: uint64(i) + 1, Outage: 1, Members: []Member{{Identity: member}}}
		k.GroupInfo(GroupInfoRequest{Service: "s", Record: record})
	}
	assert.Equal(t, s.group.Record().Epoch, uint64(2))
	outside := s.nonMember.Record()
	assert.Assert(t, outside != nil && outside.Epoch == 2, "the state machine of a node outside knows %+v", outside)
}

// Guards against an orphaned group that nobody replaces: the first-ranked node outside knows an older record, in which a present
// member is not one yet, and leaves the replacement to that member.
func TestOrphanedGroupIsReadByAnyNodeOutside(t *testing.T) {
	now := Instant{Mono: time.Hour, Wall: simEpoch}
	self, lost, member := Identity{ID: "n4", Incarnation: 1}, Identity{ID: "n1", Incarnation: 1}, Identity{ID: "n3", Incarnation: 1}
	o := NewNonMember(now, self, "s", simConfig, 0)
	o.Handle(now, PeersChanged{Peers: []Peer{
		{Identity: self, Region: "r", Serves: true}, {Identity: member, Region: "r", Serves: true}, {Identity: lost, Region: "r", Gone: true},
	}})
	o.Handle(now, RecordRead{Record: &Record{Epoch: 1, Region: "r", Outage: 1, Members: []Member{{Identity: lost}}}})
	assert.Equal(t, o.candidateRank(), 1)
	now.Mono += simConfig.ReadInterval
	assert.Assert(t, slices.Contains(o.Handle(now, Tick{}), Output(ReadRecord{})))
}

// Guards against the same in a whole group: two of three members, which none but the third and they know as members, restart.
func TestGroupUnknownToOthersIsReplaced(t *testing.T) {
	plan := []fault{
		{kind: "crash", target: 1, at: 6900 * time.Millisecond, length: 5500 * time.Millisecond},
		{kind: "crash", target: 2, at: 8200 * time.Millisecond, length: 400 * time.Millisecond},
		{kind: "crash", target: 1, at: 5100 * time.Millisecond, length: 4700 * time.Millisecond},
		{kind: "freeze", target: 4, at: 5300 * time.Millisecond, length: 12 * time.Second},
	}
	_, err := simulate(0x23a2df, 5, plan, mutation{})
	assert.NilError(t, err)
}
