package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of the recorded times, maxLatency the longest one; longer times count as that.
	latencyUnit   = 100 * time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 2 // significant decimal digits
	// minLatencySamples is the number of samples from which the quantiles are used.
	minLatencySamples = 100
	// latencyPeriod is the shortest time between two rotations, maxLatencyAge the time without a rotation after which all
	// samples are dropped as out of date.
	latencyPeriod = 15 * time.Second
	maxLatencyAge = 5 * time.Minute
	// samplesPerRefresh is the number of samples after which the quantiles are computed again. Computing them takes much
	// longer than recording a sample.
	samplesPerRefresh = 50
	tailPercentile    = 95
)

// latencyWindow holds the times in which recent first attempts of one route were answered. Each time is recorded in two
// histograms that are emptied in turn, so that the older one always covers between one and two periods.
type latencyWindow struct {
	mu             sync.Mutex
	older, younger *hdrhistogram.Histogram // nil before the first sample
	rotatedAt      time.Time
	unread         int // samples since the quantiles were computed
	median, tail   time.Duration
}

// record adds the time of one first attempt.
func (w *latencyWindow) record(now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.older == nil {
		w.older, w.younger, w.rotatedAt = newLatencies(), newLatencies(), now
	}
	w.rotate(now)
	value := int64(min(max(took, 0), maxLatency) / latencyUnit)
	_ = w.older.RecordValue(value) // the range was checked
	_ = w.younger.RecordValue(value)
	if w.unread++; w.unread >= samplesPerRefresh {
		w.refresh()
	}
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

// quantiles returns the median and the tail percentile of the recent times; ok is false while there are too few.
func (w *latencyWindow) quantiles(now time.Time) (median, tail time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.older == nil {
		return 0, 0, false
	}
	w.rotate(now)
	return w.median, w.tail, w.tail > 0
}

// preview returns what quantiles returns, without a rotation.
func (w *latencyWindow) preview(now time.Time) (median, tail time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.older == nil {
		return 0, 0, false
	}
	median, tail = w.median, w.tail
	switch expired, due := w.rotationAt(now); {
	case expired:
		median, tail = 0, 0
	case due:
		median, tail = quantilesOf(w.younger)
	}
	return median, tail, tail > 0
}

// rotationAt reports whether the samples are out of date, and whether the histograms are to be rotated. The caller holds the lock.
func (w *latencyWindow) rotationAt(now time.Time) (expired, due bool) {
	age := now.Sub(w.rotatedAt)
	expired = age >= maxLatencyAge
	return expired, expired || age >= latencyPeriod && w.younger.TotalCount() >= minLatencySamples
}

// rotate empties the older histogram at the end of a period when the younger one can take its place, and both when they
// are out of date. The caller holds the lock.
func (w *latencyWindow) rotate(now time.Time) {
	expired, due := w.rotationAt(now)
	if !due {
		return
	}
	if expired {
		w.younger.Reset()
	}
	w.older.Reset()
	w.older, w.younger, w.rotatedAt = w.younger, w.older, now
	w.refresh()
}

// refresh computes the quantiles. The caller holds the lock.
func (w *latencyWindow) refresh() {
	w.unread = 0
	w.median, w.tail = quantilesOf(w.older)
}

// quantilesOf returns the median and the tail percentile of the times, 0 while there are too few.
func quantilesOf(times *hdrhistogram.Histogram) (median, tail time.Duration) {
	if times.TotalCount() < minLatencySamples {
		return 0, 0
	}
	median = time.Duration(times.ValueAtPercentile(50)) * latencyUnit
	return median, max(time.Duration(times.ValueAtPercentile(tailPercentile))*latencyUnit, latencyUnit)
}
