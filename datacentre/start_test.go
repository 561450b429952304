package datacentre

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a store overloaded by nodes that start at once and write one entry each. The store takes
// several hundred writes a second. Only border nodes are contacts, so that writes grow with the number of
// data centres: 300 a second for 17 correspond to 70 for these 4.
func TestStoreWriteRateAtSimultaneousStart(t *testing.T) {
	t.Parallel()
	const (
		nodes        = 60 // of each of 4 data centres
		maxWriteRate = 300 * 4 / 17
	)
	runInVirtualTime(t, func(n *network) {
		kv := kvstore.NewMemory()
		kv.SetFaults(kvstore.Faults{Delay: 5 * time.Millisecond})
		n.store = kv
		for _, c := range dataCentreNames(4, 2) {
			for i := range nodes {
				n.start(record(c[0], c[1], i), nil)
			}
		}
		before, highest, reads := 0, 0, 0
		for range 20 {
			time.Sleep(time.Second)
			calls := kv.Calls()
			highest = max(highest, calls.Writes-before)
			before, reads = calls.Writes, calls.Reads
		}
		t.Logf("%d writes in 20 s, %d in the worst second, %d reads; agreed %v later", before, highest, reads, n.agreeWithin(20*time.Second))
		assert.Assert(t, highest <= maxWriteRate, "%d writes in a second, at most %d", highest, maxWriteRate)
	})
}
