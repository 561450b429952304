package link

import (
	"sync/atomic"
	"time"
)

const (
	defaultNearWay = 500 * time.Microsecond // round trip within a data centre before one was measured
	defaultFarWay  = 5 * time.Millisecond   // round trip to another data centre before one was measured
	// wayRise is the share by which a slower answer raises the learned round trip, so that a changed
	// route is followed while ordinary queueing on the network hardly counts.
	wayRise = 1.0 / 256
	// wayFall is the share by which a faster answer lowers it.
	wayFall = 1.0 / 4
)

// NetworkPath is the learned network round trip to one data centre, shared by all links into it.
type NetworkPath struct{ roundTrip atomic.Int64 }

func newNetworkPath(initial time.Duration) *NetworkPath {
	w := &NetworkPath{}
	w.roundTrip.Store(int64(initial))
	return w
}

// RoundTrip returns the network time of a request and its answer.
func (w *NetworkPath) RoundTrip() time.Duration { return time.Duration(w.roundTrip.Load()) }

// observe takes the network part of one answer: its latency without the time at the far node.
// Concurrent samples may overwrite each other; each is only a small correction.
func (w *NetworkPath) observe(sample time.Duration) {
	held := w.roundTrip.Load()
	weight := wayRise
	if int64(sample) < held {
		weight = wayFall
	}
	w.roundTrip.Store(held + int64(float64(int64(sample)-held)*weight))
}
