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

// within returns for how much of the interval this process was not scheduled.
func (m *stallDetector) within(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum time.Duration
	for _, s := range m.stalls {
		sum += max(0, earlier(s.to, to).Sub(later(s.from, from)))
	}
	return sum
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
