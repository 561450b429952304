package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bounds that are widened by the part of a stall outside of the interval which they limit.
func TestStallCountsWithinItsInterval(t *testing.T) {
	start := time.Now()
	stall := &stallDetector{stalls: []span{{start, start.Add(time.Second)}, {start.Add(2 * time.Second), start.Add(3 * time.Second)}}}
	assert.Equal(t, stall.within(start.Add(900*time.Millisecond), start.Add(2200*time.Millisecond)), 300*time.Millisecond)
	assert.Equal(t, stall.within(start.Add(time.Second), start.Add(2*time.Second)), time.Duration(0))
}
