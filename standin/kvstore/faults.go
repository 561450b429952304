package kvstore

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Faults are the failures that a Memory injects. The zero value is a healthy store.
type Faults struct {
	Down          bool          // every call fails with ErrUnavailable and has no effect
	DropResponses bool          // writes take effect and fail with ErrUncertain
	DropRequests  bool          // writes have no effect and fail with ErrUncertain
	Delay         time.Duration // added to each call
	DropEvents    bool          // watches lose every change
	HoldEvents    bool          // watches deliver changes when the fault ends
	SkipEvents    int           // watches lose every change whose revision is a multiple of this
}

// Calls counts the calls to a Memory, including those that failed.
type Calls struct{ Reads, Writes, Watches int }

// SetFaults replaces the faults. Watch events that a fault held back are delivered when it ends.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	if !f.HoldEvents {
		for w := range m.watchers {
			m.flush(w)
		}
	}
}

// ExpireAllLeases ends every lease at once, as if none had been renewed within its time to live.
func (m *Memory) ExpireAllLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.endLease(id)
	}
}

// CloseWatches closes every watch.
func (m *Memory) CloseWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.watchers {
		m.closeWatch(w)
	}
}

// Calls returns the calls counted so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Load returns the calls in the last full second and the highest number in any second. Each open watch
// counts as one call a second.
func (m *Memory) Load() (last, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate.advance(time.Now(), len(m.watchers))
	return m.rate.last + len(m.watchers), m.rate.peak
}

// rateMeter counts calls per second.
type rateMeter struct {
	second  time.Time
	current int
	last    int
	peak    int
}

func (c *rateMeter) count(now time.Time, waiting int) {
	c.advance(now, waiting)
	c.current++
	c.peak = max(c.peak, c.current+waiting)
}

func (c *rateMeter) advance(now time.Time, waiting int) {
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

// beginCall counts the call, waits for the injected delay and returns an error when the store is down.
func (m *Memory) beginCall(ctx context.Context, count func(*Calls)) error {
	m.mu.Lock()
	faults := m.faults
	count(&m.calls)
	m.rate.count(time.Now(), len(m.watchers))
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
	m.Observe(m.CurrentEra())
	return nil
}
