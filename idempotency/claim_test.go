package idempotency

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a member that never learns that it is one: the node that wrote the epoch ended before
// it informed the new members, so that only claims and settlements of entry nodes reach them.
func TestRequestOfLaterEpochReadsRecord(t *testing.T) {
	self := Identity{ID: "n0", Incarnation: 1}
	other := Identity{ID: "n1", Incarnation: 1}
	key := newKey(simEpoch, 1)
	requests := map[string]func(*Group, Instant){
		"claim": func(g *Group, now Instant) {
			assert.Equal(t, g.Claim(now, ClaimRequest{Epoch: 2, To: self, Key: key}).Verdict, NotOwner)
		},
		"settlement": func(g *Group, now Instant) {
			assert.Assert(t, !g.Settle(now, SettleRequest{Epoch: 2, To: self, Key: key}).Accepted)
		},
	}
	known := map[string]*Record{
		"no record":      nil,
		"earlier record": {Epoch: 1, Members: []Member{{Identity: other}}, Outage: 1},
		"present record": {Epoch: 2, Members: []Member{{Identity: other}}, Outage: 1},
	}
	for requestName, send := range requests {
		for recordName, record := range known {
			t.Run(requestName+" with "+recordName, func(t *testing.T) {
				now := Instant{Mono: time.Hour, Wall: simEpoch}
				g := NewGroup(self, "s", simConfig, NewTable(simBounds))
				g.Handle(now, RecordReceived{Record: record})
				send(g, now)
				reads := slices.Contains(g.Handle(now, Tick{}), Output(ReadRecord{}))
				assert.Equal(t, reads, record == nil || record.Epoch < 2)
			})
		}
	}
}

// Guards against a group whose only member does not know it: here the previous member stops, writes the
// epoch, does not receive the answer of the store and ends.
func TestGroupServesAfterUnansweredStop(t *testing.T) {
	stop := fault{kind: "stop", target: 1, at: 5 * time.Second, length: 100 * time.Millisecond}
	_, err := simulate(3, 2, []fault{stop}, mutation{})
	assert.NilError(t, err)
}

// Guards against a sealed member that refuses new keys for seconds although requests of a later epoch reach it: the member that
// sealed it wrote the epoch and ended before it informed this one.
func TestRequestOfLaterEpochReadsRecordWhenSealed(t *testing.T) {
	self, other := Identity{ID: "n0", Incarnation: 1}, Identity{ID: "n1", Incarnation: 1}
	now := Instant{Mono: time.Hour, Wall: simEpoch}
	g := NewGroup(self, "s", simConfig, NewTable(simBounds))
	g.Handle(now, RecordReceived{Record: &Record{Epoch: 1, Members: []Member{{Identity: self}, {Identity: other, Slot: 1}}, Outage: 1}})
	g.Handle(now, Tick{})
	g.Handle(now, RecordRead{Started: now, Failed: true})
	assert.Assert(t, g.Seal(now, SealRequest{Epoch: 1, From: other, To: self}).Sealed)
	key := newKey(simEpoch, 1)
	for serial := uint64(2); g.Record().Owner(key).Identity != self; serial++ {
		key = newKey(simEpoch, serial)
	}
	now.Mono += minReadInterval
	assert.Equal(t, g.Claim(now, ClaimRequest{Epoch: 2, To: self, Key: key}).Verdict, NoLease)
	assert.Assert(t, slices.Contains(g.Handle(now, Tick{}), Output(ReadRecord{})))
}
