package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordSteadily records a time every 100 ms and returns the end of the duration.
func recordSteadily(w *latencyWindow, from time.Time, lasting, took time.Duration) time.Time {
	end := from.Add(lasting)
	for now := from; now.Before(end); now = now.Add(100 * time.Millisecond) {
		w.record(now, took)
	}
	return end
}

// Guards against a delay that follows times from before a change of the service, or from hours ago, and against one that
// follows a few requests.
func TestLatenciesAreRecent(t *testing.T) {
	w := &latencyWindow{}
	now := recordSteadily(w, time.Now(), 9*time.Second, 50*time.Millisecond)
	_, _, ok := w.quantiles(now)
	assert.Assert(t, !ok, "90 requests are enough")
	now = recordSteadily(w, now, time.Minute, 50*time.Millisecond)
	isAbout(t, w, now, 50*time.Millisecond)
	now = recordSteadily(w, now, 3*latencyPeriod, 500*time.Millisecond)
	isAbout(t, w, now, 500*time.Millisecond)
	_, _, ok = w.quantiles(now.Add(time.Hour))
	assert.Assert(t, !ok, "times of an hour ago are used")
}

func isAbout(t *testing.T, w *latencyWindow, now time.Time, want time.Duration) {
	t.Helper()
	median, tail, ok := w.quantiles(now)
	assert.Assert(t, ok)
	assert.Assert(t, median > want*98/100 && tail < want*102/100, "median %v, tail %v", median, tail)
}

// Guards against times beyond the range of the histogram that are lost.
func TestExtremeLatenciesCount(t *testing.T) {
	w := &latencyWindow{}
	now := time.Now()
	for range minLatencySamples / 2 {
		w.record(now, -time.Second)
		w.record(now, time.Hour)
	}
	_, tail, ok := w.quantiles(now)
	assert.Assert(t, ok)
	assert.Assert(t, tail > maxLatency*98/100, "%v", tail)
}

// BenchmarkHedgeBookkeeping is what hedging adds to a request that is answered in time.
func BenchmarkHedgeBookkeeping(b *testing.B) {
	budget := newHedgeBudgetTable().of("s")
	w := &latencyWindow{}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		budget.deposit(now, 0.05)
		_, _, _ = w.quantiles(now)
		w.record(now, time.Duration(i%200)*time.Millisecond)
	}
}
