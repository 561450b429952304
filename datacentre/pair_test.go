package datacentre

import (
	"testing"
	"time"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// pairLimit covers the slowest repair, the next attempt to join of a node that has been alone for long.
const pairLimit = 3*maxJoinBackoff/2 + 2*joinTimeout

// Guards against a fleet of two, in which no third member can confirm a failure, that stays apart after the link
// between the two was cut in both directions or in one, with and without the store.
func TestFleetOfTwoRejoinsAfterCut(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		bothWays, withStore bool
		cut                 time.Duration
	}{
		"both ways":              {true, false, 20 * time.Second},
		"both ways, store":       {true, true, 20 * time.Second},
		"one way":                {false, false, 20 * time.Second},
		"both ways, brief":       {true, false, 2 * time.Second},
		"both ways, long, store": {true, true, 3 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				if c.withStore {
					n.store = kvstore.NewMemory()
				}
				members := n.fill(2, dataCentreNames(1, 1)...)
				n.agreeWithin(0)
				n.mu.Lock()
				n.blocked = func(a, b *member) bool { return c.bothWays || a == members[0] }
				n.mu.Unlock()
				time.Sleep(c.cut)
				t.Logf("members known during the cut: %d and %d",
					len(members[0].fleet.DataCentre("dc0")), len(members[1].fleet.DataCentre("dc0")))
				n.mu.Lock()
				n.blocked = func(_, _ *member) bool { return false }
				n.mu.Unlock()
				t.Logf("together after %s", n.agreeWithin(pairLimit))
			})
		})
	}
}
