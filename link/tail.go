package link

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// tailShare is the share of answers that come before a hedge is sent.
	tailShare   = 0.95
	middleShare = 0.5
	// hedgeSpread is the least ratio of the time to a hedge and the median latency. Without it
	// nearly every request of a service with even latencies would come close to a hedge.
	hedgeSpread = 1.5
	// quantileStep is the relative step of a running quantile.
	quantileStep = 0.1
)

// quantile is a running quantile of durations. Concurrent samples may overwrite each other; each is
// only a small correction.
type quantile struct {
	share float64
	bits  atomic.Uint64 // float64 bits of the nanoseconds, 0 before the first sample
}

func (q *quantile) get() float64 { return math.Float64frombits(q.bits.Load()) }

func (q *quantile) add(sample time.Duration) {
	x, value := float64(sample), q.get()
	switch {
	case value == 0:
		value = x
	case x > value:
		value *= 1 + quantileStep*q.share
	case x < value:
		value *= 1 - quantileStep*(1-q.share)
	}
	q.bits.Store(math.Float64bits(value))
}

// HedgeAfter returns the time after which a hedge of a short request is worth sending, 0 when not
// enough is known.
func (l *Link) HedgeAfter() time.Duration {
	return time.Duration(max(l.tail.get(), hedgeSpread*l.middle.get()))
}
