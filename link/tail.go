package link

import "time"

const (
	// tailShare is the share of answers that come before a hedge is sent.
	tailShare = 0.95
	// hedgeSpread is the least ratio of the time to a hedge and the median latency. Without it
	// nearly every request of a service with even latencies would come close to a hedge.
	hedgeSpread = 1.5
	// quantileStep is the relative step of a running quantile.
	quantileStep = 0.1
)

// quantile is a running quantile of durations.
type quantile struct {
	share float64
	value float64 // ns, 0 before the first sample
}

func (q *quantile) add(sample time.Duration) {
	x := float64(sample)
	switch {
	case q.value == 0:
		q.value = x
	case x > q.value:
		q.value *= 1 + quantileStep*q.share
	case x < q.value:
		q.value *= 1 - quantileStep*(1-q.share)
	}
}

// HedgeAfter returns the time after which a hedge of a short request is worth sending, 0 when not
// enough is known.
func (l *Link) HedgeAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(max(l.tail.value, hedgeSpread*l.middle.value))
}
