package peer_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// Guards against an upstream that has left and is in service again, because its node was started again and no other node told it.
func TestRestartedNodeIsToldThatItsUpstreamLeft(t *testing.T) {
	left := peer.Departure{Upstream: "u1", Born: 10}
	started := peer.Status{Node: "n1", Boot: 77, Address: "10.0.0.1:80", Zone: "z1"}
	inServiceAgain := started
	inServiceAgain.Revision, inServiceAgain.Upstream, inServiceAgain.Service, inServiceAgain.Serving = 1, "u1", "s", true
	other := inServiceAgain
	other.Upstream = "u9"
	told := []peer.DepartureMessage{{Departure: left, Boot: 99, OfReceiver: true}}
	for name, test := range map[string]struct {
		status peer.Status
		want   []peer.DepartureMessage
	}{
		"no upstream yet":                {started, told},
		"a late announcement came first": {inServiceAgain, told},
		"another upstream by now":        {other, nil},
		"the run that reported it":       {peer.Status{Node: "n1", Boot: 1, Revision: 2, Zone: "z1", Upstream: "u1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, r := rosterOf(t, 2)
				r.HandleDeparture(address(1), peer.DepartureMessage{Departure: left, Boot: 1})
				r.HandleStatus(address(1), peer.StatusMessage{Status: test.status})
				assert.DeepEqual(t, n.departures[address(1)], test.want)
				r.HandleDeparture(address(1), peer.DepartureMessage{Departure: left, Boot: test.status.Boot})
				r.HandleStatus(address(1), peer.StatusMessage{Status: test.status})
				assert.Equal(t, len(n.departures[address(1)]), len(test.want), "it is told again although it knows")
			})
		})
	}
}

// Guards against a departure that the other nodes don't know when the node that took it is killed.
func TestDepartureIsSentToTheOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		left := peer.Departure{Upstream: "u5", Born: 10}
		n.self.departure = left
		r.UpdateOwnStatus()
		for i := 1; i <= 2; i++ {
			assert.DeepEqual(t, n.departures[address(i)], []peer.DepartureMessage{{Departure: left, Boot: 99}})
		}
		r.HandleDeparture(address(1), peer.DepartureMessage{Departure: left, Boot: 1, OfReceiver: true})
		assert.DeepEqual(t, n.self.learned, []peer.Departure{left})
	})
}

// Guards against a node that never learns what the others have been told by notices: one that was started again, and one that
// the notices did not reach.
func TestNodesAreContactedAfterTheirStartAndByTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := rosterOf(t, 4)
		var mu sync.Mutex
		contacts := map[netip.AddrPort]int{}
		contactsOf := func(i int) int {
			mu.Lock()
			defer mu.Unlock()
			return contacts[address(i)]
		}
		r := peer.NewRoster(peer.Options{
			Zone: "z0", Address: address(200), Sender: n, Self: n.self, Log: slog.New(slog.DiscardHandler),
			OnContact: func(addr netip.AddrPort) {
				mu.Lock()
				defer mu.Unlock()
				contacts[addr]++
			},
		})
		n.roster = r
		for i := 1; i <= 4; i++ {
			r.HandleStatus(address(i), peer.StatusMessage{Status: n.nodes[address(i)].status})
			r.HandleStatus(address(i), peer.StatusMessage{Status: n.nodes[address(i)].status})
			assert.Equal(t, contactsOf(i), 1)
		}
		restarted := n.nodes[address(1)].status
		restarted.Boot = 77
		r.HandleStatus(address(1), peer.StatusMessage{Status: restarted})
		assert.Equal(t, contactsOf(1), 2)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		r.Run(ctx)
		for i := 2; i <= 4; i++ {
			assert.Assert(t, contactsOf(i) > 1, "node %d", i)
		}
	})
}
