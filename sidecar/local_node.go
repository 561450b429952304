package sidecar

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// localNode implements peer.Self: it provides the state of this node that is sent to the other nodes.
type localNode struct{ *Sidecar }

// Status implements peer.Self.
func (s localNode) Status() peer.Status {
	status := s.proxy.Status()
	status.StoreReachable = s.storeReachable.Load()
	return status
}

// Load implements peer.Self.
func (s localNode) Load(now time.Time) peer.Load { return s.proxy.Load(now) }

// LastLoad implements peer.Self.
func (s localNode) LastLoad(now time.Time) peer.Load { return s.proxy.LastLoad(now) }

// LearnPreviousUpstream implements peer.Self.
func (s localNode) LearnPreviousUpstream(former peer.PreviousUpstream) { s.proxy.Recall(former) }

// Departure implements peer.Self.
func (s localNode) Departure() peer.Departure { return s.proxy.Departure() }

// LearnDeparture implements peer.Self.
func (s localNode) LearnDeparture(d peer.Departure) { s.proxy.LearnDeparture(time.Now(), d) }

// RateLimit implements peer.Self.
func (s localNode) RateLimit(now time.Time) peer.RateLimit { return s.proxy.RateLimit(now) }

// LearnRateLimit implements peer.Self.
func (s localNode) LearnRateLimit(l peer.RateLimit) { s.proxy.LearnRateLimit(time.Now(), l) }
