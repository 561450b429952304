package soak

import (
	"sync"
	"time"
)

// stallMeter measures for how long the machine did not run this process, so that a busy machine is not taken for a slow
// system.
type stallMeter struct {
	mu     sync.Mutex
	stalls []span
}

const (
	stallStep  = 10 * time.Millisecond
	leastStall = 30 * time.Millisecond
)

func (m *stallMeter) run(done <-chan struct{}) {
	ticker := time.NewTicker(stallStep)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > leastStall {
			m.mu.Lock()
			m.stalls = append(m.stalls, span{last, now})
			m.mu.Unlock()
		}
		last = now
	}
}

// within returns the stalled time between two moments.
func (m *stallMeter) within(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum time.Duration
	for _, s := range m.stalls {
		if s.from.Before(to) && s.to.After(from) {
			sum += s.to.Sub(s.from)
		}
	}
	return sum
}
