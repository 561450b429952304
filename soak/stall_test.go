package soak

import (
	"sync"
	"time"
)

// stallDetector records the periods in which this process was not scheduled. Checks of time bounds add them, so that an
// overloaded machine does not count as a violation.
type stallDetector struct {
	mu     sync.Mutex
	stalls []span
}

const (
	stallPollInterval = 10 * time.Millisecond
	minStall          = 30 * time.Millisecond
)

func (m *stallDetector) poll(done <-chan struct{}) {
	ticker := time.NewTicker(stallPollInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > minStall {
			m.mu.Lock()
			m.stalls = append(m.stalls, span{last, now})
			m.mu.Unlock()
		}
		last = now
	}
}

// within returns the total length of the stalls that overlap the interval.
func (m *stallDetector) within(from, to time.Time) time.Duration {
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
