package datacentre

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Guards against a broadcast that a member never receives, because its answer to the first offer is lost on a link
// that is cut in one direction, and it declines the offers of the other holders meanwhile.
func TestBroadcastReachesMemberDespiteLostAnswers(t *testing.T) {
	t.Parallel()
	const size = 16
	for distance := 1; distance < size; distance *= 2 {
		t.Run(fmt.Sprintf("sender at distance %d", distance), func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(size, dataCentreNames(1, 1)...)
				ring := members[0].local.Ring()
				sender, receiver := n.members[ring[0].PeerAddr], n.members[ring[distance].PeerAddr]
				n.mu.Lock()
				n.blocked = func(a, b *member) bool { return a == receiver && b == sender }
				n.mu.Unlock()
				var handled atomic.Int32
				receiver.Handle("release", func(instance.ID, []byte) { handled.Add(1) })
				assert.NilError(t, sender.Broadcast("release", "1", make([]byte, minOfferSize)))
				time.Sleep(propagationLimit)
				assert.Equal(t, handled.Load(), int32(1))
			})
		})
	}
}
