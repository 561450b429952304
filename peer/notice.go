package peer

import (
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// ObserveNotice records what the upstream of the candidate has stated in an answer to a request of this node. The node beside the
// upstream has recorded and reported it before. That report may be lost, and the node may end before it sends another.
func (c Candidate) ObserveNotice(now time.Time, n caller.Notice) {
	p := c.Peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if n.Leaving {
		p.observeLeaving(now, c.Status, n.Born)
	}
	if n.Limit.Named && p.status.Upstream == c.Status.Upstream {
		p.observeLimit(now, c.Status, n)
	}
}

// observeLeaving records that the upstream which the node had in the given status leaves. The caller holds the lock.
func (p *Peer) observeLeaving(now time.Time, answered Status, born int64) {
	p.leaving = leavingUpstream{answered.Upstream, answered.Boot, answered.Revision}
	isKnown := p.departure.Upstream == answered.Upstream && born <= p.departure.Born
	if isKnown {
		return
	}
	if born == 0 {
		born = now.UnixMilli() // it has started before
	}
	p.departure = reportedDeparture{Departure{Upstream: answered.Upstream, Born: born}, answered.Boot}
}

// observeLimit records the limit that the upstream has named. What it leaves is known from the node beside the upstream only. The caller
// holds the lock.
func (p *Peer) observeLimit(now time.Time, answered Status, n caller.Notice) {
	if p.limit.Upstream == answered.Upstream && p.limit.boot == answered.Boot && p.limit.Named {
		p.limit.PerSecond = n.Limit.PerSecond
		return
	}
	p.limit = reportedLimit{RateLimit{Upstream: answered.Upstream, Born: n.Born, RateLimit: n.Limit}, answered.Boot, now}
}

// recordReport lets record note what another node has reported of its upstream. It is called with the lock of the peer held.
func (r *Roster) recordReport(from netip.AddrPort, record func(*Peer)) {
	p, added := r.getOrAdd(from)
	if p.isSelf {
		return
	}
	p.mu.Lock()
	record(p)
	p.mu.Unlock()
	if added {
		r.sendStatus(p, true)
	}
}

// hasForgotten reports whether the node was started again since the given run of it reported a fact on its upstream, unless it has
// another upstream by now.
func (s Status) hasForgotten(upstream string, reportedBy uint64) bool {
	isOther := s.Upstream != "" && s.Upstream != upstream
	return s.Boot != 0 && s.Boot != reportedBy && !isOther
}
