package peer

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one request in the moving averages. outcomeDecay is the time constant with which they
	// decay to zero, so that an upstream that was avoided is tried again.
	outcomeWeight = 0.2
	outcomeDecay  = 3 * time.Second
	// minRatio and maxRatio bound the ratio of a request's duration to the typical one.
	minRatio = 0.25
	maxRatio = 8
	// toleratedRatio is the mean ratio up to which slow requests are taken for chance, since a few requests always run many
	// times longer than the rest.
	toleratedRatio = 1.6
	// failureCost is the cost of an upstream at which every request fails, in multiples of its expected time.
	failureCost = 10
)

// outcomeStats summarises the outcomes of this node's requests to one upstream.
type outcomeStats struct {
	slowdown    float64 // moving average of the ratio of the duration to the typical one, minus 1
	failureRate float64 // moving average of the share of failures
	updatedAt   time.Time
}

// decay lets the averages decay for the time since the last update.
func (s *outcomeStats) decay(now time.Time) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now
		return
	}
	remaining := math.Exp(-now.Sub(s.updatedAt).Seconds() / outcomeDecay.Seconds())
	s.slowdown *= remaining
	s.failureRate *= remaining
	s.updatedAt = now
}

// Result is the outcome of a request to a peer's upstream.
type Result uint8

// Results of requests.
const (
	Served  Result = iota
	Failed         // the upstream or the connection to it failed
	Refused        // refused by the node; not counted, because it says nothing of the upstream
)

// Observe records the outcome of a request. typical is the duration of such requests, 0 when unknown. A failure that was
// faster than that does not count as fast.
func (p *Peer) Observe(now time.Time, result Result, took, typical time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result == Refused {
		return
	}
	p.outcomes.decay(now)
	failed := 0.0
	if result == Failed {
		failed = 1
	}
	p.outcomes.failureRate += (failed - p.outcomes.failureRate) * outcomeWeight
	if typical > 0 && (result == Served || took > typical) {
		ratio := min(max(took.Seconds()/typical.Seconds(), minRatio), maxRatio)
		p.outcomes.slowdown += (ratio - 1 - p.outcomes.slowdown) * outcomeWeight
	}
}

// costFactor returns the factor by which the outcomes raise the cost of the upstream.
func (s outcomeStats) costFactor(now time.Time) float64 {
	s.decay(now)
	return max(1, (1+s.slowdown)/toleratedRatio) * (1 + failureCost*s.failureRate)
}
