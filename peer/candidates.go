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
	return r.sampleBy(need, func(p *Peer) Standing { return r.expiredStanding(now, p, need) })
}

// sampleBy is candidates with the standing of each node.
func (r *Roster) sampleBy(need Criteria, standing func(*Peer) Standing) []*Peer {
	nodes, _ := r.services.Get(need.Service)
	for _, accepts := range []func(Standing) bool{Standing.usable, Standing.usableBeyondLimit} {
		if sampled := r.sampleZones(nodes, func(p *Peer) bool { return accepts(standing(p)) }); len(sampled) > 0 {
			return sampled
		}
	}
	return pick(nodes.all(), maxCandidates, func(p *Peer) bool { return standing(p).usableAsLastResort() })
}

// Standing holds the reasons not to choose a node for a request.
type Standing struct {
	NotServing   bool // the status of the node says that its upstream accepts no work
	Left         bool // the upstream has left, although the status of its node says otherwise
	Unresponsive bool
	Evacuated    bool // its zone is evacuated
	Limited      bool // its rate limit makes the answer too late
	Excluded     bool // by Criteria.Exclude
}

// usable reports whether there is no reason against the node.
func (s Standing) usable() bool { return s == Standing{} }

// usableBeyondLimit is usable for the case that the limits of all nodes are known from reports that are out of date.
func (s Standing) usableBeyondLimit() bool {
	s.Limited = false
	return s.usable()
}

// usableAsLastResort is usable for the case that no node responds.
func (s Standing) usableAsLastResort() bool { return !s.NotServing && !s.Evacuated && !s.Excluded }

// standing returns the reasons not to choose the node for the request. It modifies nothing.
func (r *Roster) standing(now time.Time, p *Peer, need Criteria) Standing {
	standing := Standing{Excluded: need.Exclude != nil && need.Exclude(p), Evacuated: r.isEvacuated(p)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addStanding(&standing, now, need)
	return standing
}

// addStanding sets what depends on the state of the peer. The caller holds the lock.
func (p *Peer) addStanding(s *Standing, now time.Time, need Criteria) {
	s.NotServing, s.Left, s.Unresponsive, s.Limited = !p.status.Serving, p.hasLeft(), p.isUnresponsive(now), p.limitTooLate(now, need)
}

// expiredStanding is standing after an open query of the peer that was not answered in time has been counted as unanswered.
func (r *Roster) expiredStanding(now time.Time, p *Peer, need Criteria) Standing {
	standing := Standing{Excluded: need.Exclude != nil && need.Exclude(p), Evacuated: r.isEvacuated(p)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireQuery(now)
	p.addStanding(&standing, now, need)
	return standing
}

// sampleZones returns a random sample of the usable nodes, those of the own zone first.
func (r *Roster) sampleZones(nodes serviceNodes, usable func(*Peer) bool) []*Peer {
	otherZones := pick(nodes.otherZones, maxCandidates, usable)
	sameZone := pick(nodes.sameZone, max(sameZoneQuota, maxCandidates-len(otherZones)), usable)
	return append(sameZone, otherZones[:min(len(otherZones), maxCandidates-len(sameZone))]...)
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
