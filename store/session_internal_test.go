package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that acts under a lapsed lease after it was suspended, or after one of its
// clocks stopped or was set.
func TestLeaseValidityUsesBothClocks(t *testing.T) {
	cases := []struct {
		name       string
		mono, wall time.Duration
		held       bool
	}{
		{"fresh", time.Second, time.Second, true},
		{"just before the margin", 8900 * time.Millisecond, 8900 * time.Millisecond, true},
		{"within the margin", 9 * time.Second, 9 * time.Second, false},
		{"monotonic clock stopped", time.Second, 2 * time.Second, false},
		{"wall clock set back", 2 * time.Second, time.Second, false},
		{"small divergence", time.Second, 1400 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			s := NewSession(nil, 10*time.Second)
			s.setLease(7, clockReading{wall: start})
			s.clock = func() clockReading { return clockReading{mono: c.mono, wall: start.Add(c.wall)} }
			id, held := s.Lease()
			assert.Equal(t, held, c.held)
			assert.Equal(t, id == 7, c.held)
		})
	}
}
