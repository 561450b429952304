package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that waits for its random delay twice in a new era, once before it checks a reported era and once before
// it checks its key, and against one that acts on a later era without a delay.
func TestDelayIsDrawnOncePerEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const spread, era = time.Hour, 2
		var schedule eraSchedule
		first := schedule.untilCall(era, spread)
		assert.Assert(t, first > 0 && first < spread)
		time.Sleep(first)
		assert.Equal(t, schedule.untilCall(era, spread), time.Duration(0))
		assert.Assert(t, schedule.untilCall(era+1, spread) > 0)
	})
}
