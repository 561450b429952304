package datacentre

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a fleet whose nodes start at once and write to the store one each. The store takes
// several hundred writes a second. Only border nodes are contacts, so that writes grow with the data
// centres: 300 a second for 17 are 70 for these 4.
func TestFleetThatStartsAtOnceSparesTheStore(t *testing.T) {
	t.Parallel()
	const (
		nodes     = 60 // of each of 4 data centres
		mostWrite = 300 * 4 / 17
	)
	inBubble(t, func(n *network) {
		held := kvstore.NewMemory()
		held.SetFaults(kvstore.Faults{Delay: 5 * time.Millisecond})
		n.store = held
		for _, c := range centres(4, 2) {
			for i := range nodes {
				n.start(record(c[0], c[1], i), nil)
			}
		}
		before, most, reads := 0, 0, 0
		for range 20 {
			time.Sleep(time.Second)
			calls := held.Calls()
			most = max(most, calls.Writes-before)
			before, reads = calls.Writes, calls.Reads
		}
		t.Logf("%d writes in 20 s, %d in the worst second, %d reads; agreed %v later", before, most, reads, n.agreeWithin(20*time.Second))
		assert.Assert(t, most <= mostWrite, "%d writes in a second, at most %d", most, mostWrite)
	})
}
