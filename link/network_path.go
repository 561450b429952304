package link

import (
	"sync/atomic"
	"time"
)

const (
	defaultLocalRoundTrip  = 500 * time.Microsecond // assumed within a data centre until one is measured
	defaultRemoteRoundTrip = 5 * time.Millisecond   // assumed to another data centre until one is measured
	// roundTripRiseWeight is the weight of a sample above the learned round trip. It is small, so that a changed route
	// is followed in time while ordinary queueing on the network has little effect.
	roundTripRiseWeight = 1.0 / 256
	// roundTripFallWeight is the weight of a sample below the learned round trip.
	roundTripFallWeight = 1.0 / 4
)

// NetworkPath is the learned network round trip to one data centre, shared by all links to its instances. It is safe
// for concurrent use.
type NetworkPath struct{ roundTrip atomic.Int64 }

func newNetworkPath(initial time.Duration) *NetworkPath {
	p := &NetworkPath{}
	p.roundTrip.Store(int64(initial))
	return p
}

// RoundTrip returns the learned time that a request and its answer spend on the network.
func (p *NetworkPath) RoundTrip() time.Duration { return time.Duration(p.roundTrip.Load()) }

// observe adds the network part of one answer: its latency less the time spent at the other node. Concurrent samples
// may overwrite each other; each is only a small correction.
func (p *NetworkPath) observe(sample time.Duration) {
	current := p.roundTrip.Load()
	weight := roundTripRiseWeight
	if int64(sample) < current {
		weight = roundTripFallWeight
	}
	p.roundTrip.Store(current + int64(float64(int64(sample)-current)*weight))
}
