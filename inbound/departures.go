package inbound

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// maxDepartures bounds the number of departed incarnations that are remembered.
const maxDepartures = 1024

// Deregister marks the incarnation with the ID as departed. It gets no new requests, and its later announcements are ignored.
// The current incarnation departs with its own Born, by the upstream's clock. When that is not known, or for another ID, all
// incarnations started up to now, by this node's clock, count as departed.
func (p *Proxy) Deregister(now time.Time, id string) {
	p.mu.Lock()
	if id != p.current.ID {
		p.recordOwnDeparture(id, now.UnixMilli())
		isUnknown := p.current.ID == ""
		if isUnknown {
			p.lastDeparture = peer.Departure{Upstream: id, Born: now.UnixMilli()}
		}
		p.mu.Unlock()
		if isUnknown {
			p.options.OnStatusChange()
		}
		return
	}
	notify := p.departCurrent(now, "left")
	p.mu.Unlock()
	notify()
}

// departCurrent marks the current incarnation as departed. It is called with the lock held; the caller must call notify after releasing
// it.
func (p *Proxy) departCurrent(now time.Time, cause string) (notify func()) {
	id, born := p.current.ID, p.current.latestBorn(now)
	if p.superseded.ID == id {
		born = max(born, p.superseded.Born)
	}
	p.recordOwnDeparture(id, born)
	p.lastDeparture = peer.Departure{Upstream: id, Born: born}
	p.lastSeen = now
	return p.setState(now, draining, cause)
}

// Departure implements peer.Self: the departure of the current incarnation or, while there is none, the last one known.
func (p *Proxy) Departure() peer.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current.ID != "" && p.current.ID != p.lastDeparture.Upstream {
		return peer.Departure{}
	}
	return p.lastDeparture
}

// LearnDeparture records a departure that another node knows of from before a restart of this one. It takes the incarnation out
// of service when a late announcement has put it there.
func (p *Proxy) LearnDeparture(now time.Time, d peer.Departure) {
	p.learnDeparture(now, d, "another node")
}

// learnDeparture is LearnDeparture for a departure from the given source.
func (p *Proxy) learnDeparture(now time.Time, d peer.Departure, source string) {
	p.mu.Lock()
	born, known := p.departed[d.Upstream]
	if known && d.Born <= born || d.Born > now.Add(maxClockLead).UnixMilli() {
		p.mu.Unlock()
		return
	}
	p.recordDeparture(d.Upstream, d.Born)
	if p.current.ID == "" || p.current.ID == d.Upstream {
		p.lastDeparture = d
	}
	notify := p.options.OnStatusChange
	if p.current.ID == d.Upstream && p.current.Born <= d.Born {
		notify = p.setState(now, draining, "left before this node started")
	}
	p.mu.Unlock()
	p.options.Log.Info("departure learned", "upstream", d.Upstream, "born", d.Born, "from", source)
	notify()
}

// recordOwnDeparture is recordDeparture for a departure that the upstream has told this node. It is called with the lock held.
func (p *Proxy) recordOwnDeparture(id string, born int64) {
	p.recordDeparture(id, born)
	p.keepDeparture(id, born)
}

// keepDeparture adds the departure to the records that outlast the nodes.
func (p *Proxy) keepDeparture(id string, born int64) {
	if p.options.Departures != nil {
		p.options.Departures.Add(peer.Departure{Upstream: id, Born: born})
	}
}

// recordDeparture remembers that the incarnations with the ID that started up to born have departed. Beyond maxDepartures it
// forgets the one that started first. It is called with the lock held.
func (p *Proxy) recordDeparture(id string, born int64) {
	p.departed[id] = max(p.departed[id], born)
	if len(p.departed) <= maxDepartures {
		return
	}
	first := id
	for other, otherBorn := range p.departed {
		if otherBorn < p.departed[first] {
			first = other
		}
	}
	delete(p.departed, first)
}
