package peer_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

// Guards against a node that takes itself for cut off while the first nodes of its zone answer, and against one that notices late
// that they don't.
func TestSilenceOfFirstInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, interval, count = 20, 200 * time.Millisecond, 2
		n, r := rosterOf(t, nodes) // those with even numbers are in the zone of this node, n5; eight of them precede it
		for range 50 {
			time.Sleep(interval)
			silence, isFirst := r.CheckFirstInZone(count)
			assert.Assert(t, !isFirst && silence <= 500*time.Millisecond, "%v", silence)
		}
		time.Sleep(10 * time.Millisecond) // until the last answer has arrived
		for i := 1; i <= nodes; i++ {
			n.change(i, func(other *node) { other.down = true })
		}
		for cut := time.Now(); time.Since(cut) < time.Second; {
			time.Sleep(interval)
			silence, isFirst := r.CheckFirstInZone(count)
			assert.Assert(t, !isFirst && silence >= time.Since(cut), "%v after %v", silence, time.Since(cut))
		}
		n.change(4, func(other *node) { other.down = false })
		go r.Run(t.Context())
		time.Sleep(20 * time.Second)
		_, isFirst := r.CheckFirstInZone(count)
		assert.Assert(t, isFirst, "n4 and this node are the first in the zone")
	})
}

// Guards against proofs that are asked for at nodes of other zones, at this node itself, or at nodes that are down.
func TestFirstNodesOfTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 8) // n2, n4, n6 and n8 are in the zone of this node
		go r.Run(t.Context())
		assert.DeepEqual(t, r.FirstInZone(2), []netip.AddrPort{address(2), address(4)}, cmpopts.EquateComparable(netip.AddrPort{}))
		n.change(2, func(other *node) { other.down = true })
		time.Sleep(5 * time.Second)
		first := r.FirstInZone(9)
		assert.DeepEqual(t, first, []netip.AddrPort{address(4), address(6), address(8)}, cmpopts.EquateComparable(netip.AddrPort{}))
	})
}
