package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a holder that acts under a lapsed lease after it was frozen, or after one of its
// clocks stood still.
func TestSessionJudgesLapseByBothClocks(t *testing.T) {
	cases := []struct {
		name       string
		mono, wall time.Duration
		held       bool
	}{
		{"fresh", time.Second, time.Second, true},
		{"just before the margin", 8900 * time.Millisecond, 8900 * time.Millisecond, true},
		{"within the margin", 9 * time.Second, 9 * time.Second, false},
		{"monotonic clock stood still", time.Second, 2 * time.Second, false},
		{"wall clock set back", 2 * time.Second, time.Second, false},
		{"small gap", time.Second, 1400 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			s := NewSession(nil, 10*time.Second)
			s.confirm(7, reading{wall: start})
			s.clock = func() reading { return reading{mono: c.mono, wall: start.Add(c.wall)} }
			id, held := s.Lease()
			assert.Equal(t, held, c.held)
			assert.Equal(t, id == 7, c.held)
		})
	}
}
