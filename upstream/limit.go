package upstream

import "time"

const (
	// samplesPerWindow is the number of finished requests between two changes of the limit.
	samplesPerWindow = 32
	// The limit is lowered when the ratio of service times at high and low concurrency exceeds both minSlowdown and
	// minConcurrencyShare times the ratio of these concurrencies. Below that, higher concurrency still gains throughput.
	minSlowdown         = 1.5
	minConcurrencyShare = 0.75
	// windowsToLower is the number of consecutive windows that must show saturation before the limit is lowered. The
	// medians of 32 heavy-tailed service times differ by chance too often to act on one window.
	windowsToLower = 3
	// relativeTimeStep is the relative step of the running medians of the concurrency bands.
	relativeTimeStep = 0.02
	// serviceTimeStep is the relative step of the running median of service times.
	serviceTimeStep = 0.05
	minLimit        = 2
)

// adaptiveLimit is a concurrency limit that is lowered when service times grow with concurrency. It
// compares requests that ran at high concurrency with those that ran at low concurrency. At the
// floor all requests count as low concurrency, so a general slow-down becomes the new baseline and
// the limit rises again.
type adaptiveLimit struct {
	limit            int
	samples          int
	low              concurrencyBand
	high             concurrencyBand
	highSamples      int
	saturatedWindows int // consecutive windows that showed saturation
}

// limitFloor returns the lowest limit for the number of announced slots.
func limitFloor(announced int) int { return min(announced, max(minLimit, (announced+1)/2)) }

// value returns the limit, bounded by the floor and the announced slots.
func (a *adaptiveLimit) value(announced int) int {
	if a.limit == 0 {
		return announced
	}
	return max(limitFloor(announced), min(a.limit, announced))
}

// observe updates the limit with a finished request: its service time relative to the long-run mean of its class, and
// the mean number of requests in flight while it ran.
func (a *adaptiveLimit) observe(relativeTime float64, concurrency float64, announced int) {
	current := a.value(announced)
	switch {
	case concurrency <= float64(limitFloor(announced)):
		a.low.add(relativeTime, concurrency)
	case concurrency > float64(current)*3/4:
		a.high.add(relativeTime, concurrency)
		a.highSamples++
	}
	a.samples++
	if a.samples < samplesPerWindow {
		return
	}
	switch enoughHigh := a.highSamples >= samplesPerWindow/4; {
	case enoughHigh && a.high.saturatedAgainst(a.low):
		if a.saturatedWindows++; a.saturatedWindows >= windowsToLower {
			a.limit = max(limitFloor(announced), current-1)
			a.saturatedWindows = 0
		}
	case enoughHigh || current == limitFloor(announced):
		a.limit = min(announced, current+1)
		a.saturatedWindows = 0
	}
	a.samples, a.highSamples = 0, 0
}

// concurrencyBand holds the relative service times of the requests in a range of concurrencies.
type concurrencyBand struct {
	relativeTime runningMedian
	concurrency  float64 // running mean
}

func (b *concurrencyBand) add(relativeTime, concurrency float64) {
	b.relativeTime.add(relativeTime, relativeTimeStep)
	b.concurrency += (concurrency - b.concurrency) * estimateWeight
}

// saturatedAgainst reports whether service times rise so much from low to b that throughput hardly gains.
func (b *concurrencyBand) saturatedAgainst(low concurrencyBand) bool {
	if low.relativeTime.value == 0 {
		return false
	}
	return b.relativeTime.value/low.relativeTime.value > max(minSlowdown, minConcurrencyShare*b.concurrency/low.concurrency)
}

// runningMedian estimates a median in steps of a fixed ratio. An outlier moves it no more than any other value.
type runningMedian struct{ value float64 }

func (m *runningMedian) add(x, step float64) {
	switch {
	case m.value == 0:
		m.value = x
	case x > m.value:
		m.value *= 1 + step
	case x < m.value:
		m.value /= 1 + step
	}
}

const (
	estimateWeight = 1.0 / 16
	longRunWeight  = 1.0 / 256
	// estimateClip bounds a single service time to a multiple of the mean, so that one slow request of a heavy-tailed
	// distribution does not make the deadlines of the whole queue look unmeetable.
	estimateClip = 8
)

// serviceTimeEstimate estimates the service time of a class from its finished requests.
type serviceTimeEstimate struct {
	mean        float64       // seconds
	median      runningMedian // seconds
	longRunMean float64       // seconds; a mean over many requests, which hardly follows short-term changes of concurrency
}

func (e *serviceTimeEstimate) add(took time.Duration) {
	x := took.Seconds()
	e.median.add(x, serviceTimeStep)
	if e.mean == 0 {
		e.mean, e.longRunMean = x, x
		return
	}
	e.longRunMean += (min(x, estimateClip*e.longRunMean) - e.longRunMean) * longRunWeight
	e.mean += (min(x, estimateClip*e.mean) - e.mean) * estimateWeight
}

// medianTime returns the median service time, 0 when unknown.
func (e *serviceTimeEstimate) medianTime() time.Duration {
	return time.Duration(e.median.value * float64(time.Second))
}

// meanTime returns the mean service time, 0 when unknown.
func (e *serviceTimeEstimate) meanTime() time.Duration {
	return time.Duration(e.mean * float64(time.Second))
}
