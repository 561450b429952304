package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a placement that is taken back from a load which does not include it, so that a node looks idler than it is.
func TestCancelledPlacementLeavesANewerLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 1)
		n.change(1, func(other *node) { other.load.Running = 3 })
		first := choose(t, r)
		second := choose(t, r)
		assert.Equal(t, second.Load.Running, 4)
		second.CancelPlacement()
		assert.Equal(t, choose(t, r).Load.Running, 4)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, choose(t, r).Load.Running, 3)
		first.CancelPlacement()
		assert.Equal(t, choose(t, r).Load.Running, 4)
	})
}
