package datacentre

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Guards against changes and broadcasts that a member never receives by push, because all members that pass
// updates on to it are lost at that moment and their replacements pass on only later updates.
func TestUpdatesReachMemberWhosePredecessorsAreLost(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"lost without a trace": true, "connections refused": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				const size = 16
				members := n.fill(size, dataCentreNames(1, 1)...)
				ring := members[0].local.Ring()
				before := func(distance int) *member { return n.members[ring[size-1-distance].PeerAddr] }
				receiver, changed := before(0), before(12)
				n.mu.Lock()
				receiver.passive = true // it cannot repair its table by comparison
				n.mu.Unlock()
				for distance := 1; distance < size; distance *= 2 {
					n.kill(before(distance), silent)
				}
				var handled atomic.Int32
				receiver.Handle("release", func(instance.ID, []byte) { handled.Add(1) })
				changed.Announce("catalogue", instance.Draining, 12)
				for id, payload := range map[string]int{"small": 1, "offered first": minOfferSize} {
					assert.NilError(t, changed.Broadcast("release", id, make([]byte, payload)))
				}
				time.Sleep(propagationLimit)
				held, _ := receiver.fleet.Get(changed.config.Self.ID)
				assert.Equal(t, held.State, instance.Draining)
				assert.Equal(t, handled.Load(), int32(2), "broadcasts")
			})
		})
	}
}
