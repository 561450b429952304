package soak

import (
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against bounds that are widened by the part of a stall outside of the interval which they limit.
func TestStallCountsWithinItsInterval(t *testing.T) {
	start := time.Now()
	stall := &stallDetector{stalls: []span{{start, start.Add(time.Second)}, {start.Add(2 * time.Second), start.Add(3 * time.Second)}}}
	assert.Equal(t, stall.within(start.Add(900*time.Millisecond), start.Add(2200*time.Millisecond)), 300*time.Millisecond)
	assert.Equal(t, stall.within(start.Add(time.Second), start.Add(2*time.Second)), time.Duration(0))
}

// Guards against bounds that are not widened while goroutines which wait for the network do not run: a detector that only
// waits for a timer is scheduled more often and records less.
func TestStallOfNetworkIsRecorded(t *testing.T) {
	const (
		busyGoroutines = 60
		busyTime       = 2 * time.Second
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	stall := startStallDetector(t)
	conn := dialEcho(t)
	end := time.Now().Add(busyTime)
	for range busyGoroutines {
		go func() {
			for time.Now().Before(end) {
				_ = xxhash.Sum64(make([]byte, 4<<10)) // work that uses the processor
			}
		}()
	}
	from := time.Now()
	assert.NilError(t, roundTrip(conn))
	to := time.Now()
	stalled := to.Sub(from)
	assert.Assert(t, stall.within(from, to) >= stalled-minStall, "a round trip took %v, recorded stall %v", stalled, stall.within(from, to))
}
