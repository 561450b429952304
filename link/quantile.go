package link

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// tailQuantile is the share of answers that arrive before a hedge would be sent.
	tailQuantile   = 0.95
	medianQuantile = 0.5
	// minHedgeRatio is the minimum ratio of the hedge delay to the median latency. Without it, nearly every request of
	// a service with even latencies would come close to a hedge.
	minHedgeRatio = 1.5
	// quantileStep is the relative step by which a sample moves a running quantile.
	quantileStep = 0.1
)

// quantile is a running estimate of a quantile of durations. Concurrent samples may overwrite each other; each is only
// a small correction.
type quantile struct {
	target float64       // probability of the quantile, in (0, 1)
	bits   atomic.Uint64 // float64 bits of the estimate in nanoseconds, 0 before the first sample
}

// estimate returns the quantile in nanoseconds, 0 before the first sample.
func (q *quantile) estimate() float64 { return math.Float64frombits(q.bits.Load()) }

func (q *quantile) observe(sample time.Duration) {
	x, value := float64(sample), q.estimate()
	switch {
	case value == 0:
		value = x
	case x > value:
		value *= 1 + quantileStep*q.target
	case x < value:
		value *= 1 - quantileStep*(1-q.target)
	}
	q.bits.Store(math.Float64bits(value))
}

// HedgeAfter returns the delay after which to send a hedge of a short request, 0 while there are no latencies to
// derive it from.
func (l *Link) HedgeAfter() time.Duration {
	return time.Duration(max(l.tailLatency.estimate(), minHedgeRatio*l.medianLatency.estimate()))
}
