package idempotency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
