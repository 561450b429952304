package peer_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// afterCache lets a kept list of members become old.
func afterCache() { time.Sleep(101 * time.Millisecond); synctest.Wait() }

// count returns the numbers of members, of reachable and of settled ones.
func count(members []peer.Member) (known, reachable, settled int) {
	for _, m := range members {
		if m.Reachable {
			reachable++
		}
		if m.Settled {
			settled++
		}
	}
	return len(members), reachable, settled
}

// Guards against a stopped node that still counts as a member, and a late report of its stop that removes the run after it.
func TestStoppedNodesAreNoMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := rosterOf(t, 2)
		status := peer.Status{Node: "n1", Boot: 1, Revision: 2, Zone: "z1"}
		known := func() int {
			afterCache()
			return len(r.Members())
		}
		assert.Equal(t, known(), 2)
		r.HandleStop(peer.StoppedRun{Addr: address(1), Boot: 7}) // of an earlier run that this node has not heard of
		assert.Equal(t, known(), 2)
		r.HandleStop(peer.StoppedRun{Addr: address(1), Boot: 1})
		assert.Equal(t, known(), 1)
		r.HandleStatus(address(1), peer.StatusMessage{Status: status}) // a late status of the run that stopped
		assert.Equal(t, known(), 1)
		status.Boot = 50
		r.HandleStatus(address(1), peer.StatusMessage{Status: status})
		assert.Equal(t, known(), 2)
		r.HandleStop(peer.StoppedRun{Addr: address(1), Boot: 1}) // late
		assert.Equal(t, known(), 2)
		r.HandleStop(peer.StoppedRun{Addr: address(1), Boot: 50})
		r.HandleStop(peer.StoppedRun{Addr: address(1), Boot: 1}) // later still
		assert.Equal(t, known(), 1)
		r.HandleStop(peer.StoppedRun{Addr: address(9), Boot: 3}) // unknown, and not added
		assert.Equal(t, known(), 1)
		assert.DeepEqual(t, r.StoppedRuns(), []peer.StoppedRun{{Addr: address(1), Boot: 50}}, cmpopts.EquateComparable(netip.AddrPort{}))

		// A node that was found in the store after it had stopped is no member, unless it starts again.
		r.AddNode(address(9))
		assert.Equal(t, known(), 2)
		r.HandleStop(peer.StoppedRun{Addr: address(9), Boot: 3})
		assert.Equal(t, known(), 1)
		r.HandleStatus(address(9), peer.StatusMessage{Status: peer.Status{Node: "n9", Boot: 4}})
		assert.Equal(t, known(), 2)
	})
}

// Guards against a node that has just started, or is cut off, and takes the few nodes that it has heard of for all.
func TestNodesThatWereOnlyNamedAreKnownMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := rosterOf(t, 2)
		for i := 10; i < 40; i++ {
			r.AddNode(address(i))
		}
		afterCache()
		known, reachable, settled := count(r.Members())
		assert.Equal(t, known, 32)
		assert.Equal(t, reachable, 2)
		assert.Equal(t, settled, 0, "nodes heard of less than a second ago")
	})
}

// Guards against a failed link or zone that idle nodes notice only after many rounds of gossip, against members that are dropped while
// they answer, and against ones that are trusted as soon as they are back.
func TestProbesFindWhoIsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, down = 67, 34
		n, r := rosterOf(t, nodes)
		probe := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				r.Probe()
			}
			synctest.Wait()
		}
		probe(3 * time.Second)
		asked := n.nodes[address(1)].asked
		_, _, settled := count(r.Members())
		assert.Equal(t, settled, nodes)
		assert.Assert(t, asked <= 6, "%d probes of one node in 3 s", asked)
		for i := 1; i <= down; i++ {
			n.change(i, func(other *node) { other.down = true })
		}
		probe(600 * time.Millisecond)
		afterCache()
		known, reachable, settled := count(r.Members())
		assert.Equal(t, known, nodes)
		assert.Equal(t, reachable, nodes-down)
		assert.Equal(t, settled, nodes-down)
		for i := 1; i <= down; i++ {
			n.change(i, func(other *node) { other.down = false })
			r.HandleStatus(address(i), peer.StatusMessage{Status: n.nodes[address(i)].status})
		}
		probe(500 * time.Millisecond)
		_, reachable, settled = count(r.Members())
		assert.Equal(t, reachable, nodes)
		assert.Equal(t, settled, nodes-down)
		probe(time.Second)
		_, _, settled = count(r.Members())
		assert.Equal(t, settled, nodes)
	})
}

// Guards against a pass over all nodes for each request, and against a new list when nothing has changed.
func TestMembersAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := rosterOf(t, 3)
		time.Sleep(2 * time.Second)
		first := r.Members()
		r.AddNode(address(50))
		assert.Equal(t, &r.Members()[0], &first[0])
		afterCache()
		second := r.Members()
		assert.Equal(t, len(second), 4)
		afterCache()
		assert.Equal(t, &r.Members()[0], &second[0])
	})
}
