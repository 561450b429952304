package kvstore

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Faults are the failures that a Memory brings about. The zero value is a healthy store.
type Faults struct {
	Down         bool          // every call fails with ErrUnavailable and has no effect
	LoseAnswers  bool          // writes take effect and fail with ErrUncertain
	LoseRequests bool          // writes have no effect and fail with ErrUncertain
	Delay        time.Duration // time that each call takes
	MuteWatches  bool          // watches deliver nothing and lose what happens
	StallWatches bool          // watches deliver nothing until the fault ends
	SkipWatches  int           // watches lose every change whose revision is a multiple of this
}

// Calls counts the calls that a Memory has served or failed.
type Calls struct{ Reads, Writes, Watches int }

// SetFaults replaces the faults. Changes held back by StallWatches are delivered when it ends.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	if !f.StallWatches {
		for w := range m.watchers {
			m.release(w)
		}
	}
}

// LapseLeases ends every lease at once, as if its holder had been silent for too long.
func (m *Memory) LapseLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.drop(id)
	}
}

// BreakWatches closes every watch.
func (m *Memory) BreakWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.watchers {
		m.breakWatch(w)
	}
}

// Calls returns the calls counted so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Load returns the calls of the last full second and the highest number in any second, each with
// the waiting watches counted as one call a second.
func (m *Memory) Load() (last, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.advance(time.Now(), len(m.watchers))
	return m.meter.last + len(m.watchers), m.meter.peak
}

// meter counts calls by second.
type meter struct {
	second  time.Time
	current int
	last    int
	peak    int
}

func (c *meter) count(now time.Time, waiting int) {
	c.advance(now, waiting)
	c.current++
	c.peak = max(c.peak, c.current+waiting)
}

func (c *meter) advance(now time.Time, waiting int) {
	passed := now.Sub(c.second)
	if passed < time.Second {
		return
	}
	c.last = c.current
	if passed >= 2*time.Second {
		c.last = 0
	}
	c.second, c.current = now, 0
	c.peak = max(c.peak, waiting)
}

// begin counts the call, lets its delay pass and fails it when the store is down.
func (m *Memory) begin(ctx context.Context, count func(*Calls)) error {
	m.mu.Lock()
	faults := m.faults
	count(&m.calls)
	m.meter.count(time.Now(), len(m.watchers))
	m.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return store.ErrUnavailable.Wrap(err, "call")
	}
	if faults.Down {
		return store.ErrUnavailable.New("store is down")
	}
	return nil
}
