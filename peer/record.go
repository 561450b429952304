package peer

import (
	"math"
	"time"
)

const (
	// recordWeight is the weight of one request in the running figures, and recordDecay the time constant with which
	// they fade, so that an upstream that was avoided is tried again.
	recordWeight = 0.2
	recordDecay  = 3 * time.Second
	// Bounds of the ratio of one request's time and the usual one.
	leastRatio = 0.25
	mostRatio  = 8
	// usualRatio is the ratio up to which chance explains slow requests, given that a few run many times longer.
	usualRatio = 1.6
	// failureCost is the cost of a certain failure, in multiples of the usual time.
	failureCost = 10
)

// record is how requests to one upstream went, as this node saw them.
type record struct {
	slow     float64 // mean ratio of the time taken and the usual one, less 1
	failures float64 // mean share of failures
	at       time.Time
}

func (r *record) fade(now time.Time) {
	if r.at.IsZero() {
		r.at = now
		return
	}
	held := math.Exp(-now.Sub(r.at).Seconds() / recordDecay.Seconds())
	r.slow *= held
	r.failures *= held
	r.at = now
}

// Result is how a request to a peer's upstream ended.
type Result uint8

// Results.
const (
	Served  Result = iota
	Failed         // the upstream or the way to it failed
	Refused        // turned away in good order; says nothing of the upstream
)

// Observe takes the end of a request. usual is the time that such requests take; 0 when unknown.
func (p *Peer) Observe(now time.Time, result Result, took, usual time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result == Refused {
		return
	}
	p.record.fade(now)
	failed := 0.0
	if result == Failed {
		failed = 1
	}
	p.record.failures += (failed - p.record.failures) * recordWeight
	if usual > 0 && (result == Served || took > usual) {
		ratio := min(max(took.Seconds()/usual.Seconds(), leastRatio), mostRatio)
		p.record.slow += (ratio - 1 - p.record.slow) * recordWeight
	}
}

// factor returns by how much the record of the upstream multiplies its cost.
func (r *record) factor(now time.Time) float64 {
	r.fade(now)
	return max(1, (1+r.slow)/usualRatio) * (1 + failureCost*r.failures)
}
