package peer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCandidates bounds the nodes compared for one request. sameZoneQuota of them are from the node's own zone when
	// other zones could supply the rest.
	maxCandidates = 5
	sameZoneQuota = 3
	// drawsPerPick is the number of random draws for each wanted node before all nodes of a list are looked at.
	drawsPerPick = 4
)

// serviceNodes are the nodes of one service. It is not modified after it has been published.
type serviceNodes struct {
	sameZone   []*Peer // of the zone of this node
	otherZones []*Peer
}

func (s serviceNodes) all() []*Peer { return slices.Concat(s.sameZone, s.otherZones) }

// with returns the nodes with p added.
func (s serviceNodes) with(p *Peer, sameZone bool) serviceNodes {
	if sameZone {
		s.sameZone = append(slices.Clone(s.sameZone), p)
	} else {
		s.otherZones = append(slices.Clone(s.otherZones), p)
	}
	return s
}

// without returns the nodes without p.
func (s serviceNodes) without(p *Peer) serviceNodes {
	isP := func(other *Peer) bool { return other == p }
	return serviceNodes{slices.DeleteFunc(slices.Clone(s.sameZone), isP), slices.DeleteFunc(slices.Clone(s.otherZones), isP)}
}

// candidates returns a random sample of the nodes to compare, those of the own zone first. Unresponsive nodes are used
// only when there are no others. The cost does not depend on the number of nodes unless most of them are unusable.
func (r *Roster) candidates(now time.Time, need Criteria) []*Peer {
	nodes, _ := r.services.Get(need.Service)
	allowed := func(p *Peer) bool { return (need.Exclude == nil || !need.Exclude(p)) && !r.isEvacuated(p) }
	usable := func(p *Peer) bool { return p.isServing(now) && allowed(p) && !p.isLimited(now, need) }
	if sampled := r.sampleZones(nodes, usable); len(sampled) > 0 {
		return sampled
	}
	// The limits of all may be known from reports that are out of date.
	if sampled := r.sampleZones(nodes, func(p *Peer) bool { return p.isServing(now) && allowed(p) }); len(sampled) > 0 {
		return sampled
	}
	return pick(nodes.all(), maxCandidates, func(p *Peer) bool { return p.Status().Serving && allowed(p) })
}

// sampleZones returns a random sample of the usable nodes, those of the own zone first.
func (r *Roster) sampleZones(nodes serviceNodes, usable func(*Peer) bool) []*Peer {
	otherZones := pick(nodes.otherZones, maxCandidates, usable)
	sameZone := pick(nodes.sameZone, max(sameZoneQuota, maxCandidates-len(otherZones)), usable)
	return append(sameZone, otherZones[:min(len(otherZones), maxCandidates-len(sameZone))]...)
}

// isServing reports whether the upstream of the peer accepts work and the peer responds.
func (p *Peer) isServing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status.Serving && !p.hasLeft() && !p.isUnresponsive(now)
}

// pick returns up to limit random usable elements of peers. Each set of usable elements is equally likely.
func pick(peers []*Peer, limit int, usable func(*Peer) bool) []*Peer {
	if len(peers) > drawsPerPick*limit {
		if picked := draw(peers, limit, usable); len(picked) == limit {
			return picked
		}
	}
	return sample(slices.DeleteFunc(slices.Clone(peers), func(p *Peer) bool { return !usable(p) }), limit)
}

// draw returns up to limit different usable elements, which it finds by a bounded number of random draws.
func draw(peers []*Peer, limit int, usable func(*Peer) bool) []*Peer {
	picked := make([]*Peer, 0, maxCandidates)
	for range drawsPerPick * limit {
		p := peers[rand.IntN(len(peers))]
		if slices.Contains(picked, p) || !usable(p) {
			continue
		}
		if picked = append(picked, p); len(picked) == limit {
			break
		}
	}
	return picked
}

// sample returns up to limit random elements of peers, which it reorders.
func sample(peers []*Peer, limit int) []*Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(limit, len(peers))]
}
