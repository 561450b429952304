package upstream

import "time"

const (
	// limitWindow is the number of finished requests between two changes of the limit.
	limitWindow = 32
	// limitGrowth is the least ratio of service times at high and low concurrency at which the
	// limit is lowered, and limitGain the part of the ratio of the concurrencies that it must
	// exceed: below that, higher concurrency still gains throughput.
	limitGrowth = 1.5
	limitGain   = 0.75
	// limitWindows is the number of windows in a row that must show the growth. The medians of 32
	// heavy-tailed service times differ by chance too often to act on one.
	limitWindows = 3
	// bandStep is the relative step of the running medians that are compared.
	bandStep = 0.02
	// medianStep is the relative step of the running median of service times.
	medianStep = 0.05
	minLimit   = 2
)

// adaptiveLimit lowers the number of slots in force when service times grow with concurrency. It
// compares requests that started at high concurrency with those that started at low concurrency.
// At the floor all requests count as low concurrency, so a general slow-down becomes the new base
// and the limit rises again.
type adaptiveLimit struct {
	limit    int
	seen     int
	low      band
	high     band
	highSeen int
	grown    int // windows in a row that showed growth
}

// floorOf returns the lowest limit for the announced slots.
func floorOf(announced int) int { return min(announced, max(minLimit, (announced+1)/2)) }

// value returns the limit within the announced slots.
func (a *adaptiveLimit) value(announced int) int {
	if a.limit == 0 {
		return announced
	}
	return max(floorOf(announced), min(a.limit, announced))
}

// observe takes the service time of a request relative to the long-run mean of its class, and the
// mean number of requests in flight while it ran.
func (a *adaptiveLimit) observe(relative float64, concurrency float64, announced int) {
	current := a.value(announced)
	switch {
	case concurrency <= float64(floorOf(announced)):
		a.low.add(relative, concurrency)
	case concurrency > float64(current)*3/4:
		a.high.add(relative, concurrency)
		a.highSeen++
	}
	a.seen++
	if a.seen < limitWindow {
		return
	}
	switch known := a.highSeen >= limitWindow/4; {
	case known && a.high.outgrows(a.low):
		if a.grown++; a.grown >= limitWindows {
			a.limit = max(floorOf(announced), current-1)
			a.grown = 0
		}
	case known || current == floorOf(announced):
		a.limit = min(announced, current+1)
		a.grown = 0
	}
	a.seen, a.highSeen = 0, 0
}

// band holds the service times of requests in a range of concurrencies.
type band struct {
	relative    median
	concurrency float64 // running mean
}

func (b *band) add(relative, concurrency float64) {
	b.relative.add(relative, bandStep)
	b.concurrency += (concurrency - b.concurrency) * estimateWeight
}

// outgrows reports whether service times rose so much from low to b that throughput gained little.
func (b *band) outgrows(low band) bool {
	if low.relative.value == 0 {
		return false
	}
	return b.relative.value/low.relative.value > max(limitGrowth, limitGain*b.concurrency/low.concurrency)
}

// median is a running median that outliers move no more than any other value.
type median struct{ value float64 }

func (m *median) add(x, step float64) {
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
	slowWeight     = 1.0 / 256
	// estimateClip bounds a single service time to a multiple of the mean, so that one request of
	// a heavy tail does not make the whole queue look unmeetable.
	estimateClip = 8
)

// estimate holds what is known of service times.
type estimate struct {
	mean   float64 // seconds
	middle median  // seconds
	slow   float64 // mean over many requests, seconds; hardly follows the concurrency of the moment
}

func (e *estimate) add(took time.Duration) {
	x := took.Seconds()
	e.middle.add(x, medianStep)
	if e.mean == 0 {
		e.mean, e.slow = x, x
		return
	}
	e.slow += (min(x, estimateClip*e.slow) - e.slow) * slowWeight
	e.mean += (min(x, estimateClip*e.mean) - e.mean) * estimateWeight
}

// typical returns the median service time, 0 when unknown.
func (e *estimate) typical() time.Duration {
	return time.Duration(e.middle.value * float64(time.Second))
}

// average returns the mean service time, 0 when unknown.
func (e *estimate) average() time.Duration { return time.Duration(e.mean * float64(time.Second)) }
