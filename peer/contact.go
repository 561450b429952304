package peer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// maxSilence is the time without a message from the first nodes of the zone after which one of them is queried.
const maxSilence = 300 * time.Millisecond

// CheckFirstInZone reports whether this node is one of the first count responsive nodes of its zone, in the order of
// RankInZone, and if not, the time since one of these was heard from. After maxSilence it queries one of them at random, so that
// a node which calls it several times a second notices soon that it is cut off from them, however large the zone is.
func (r *Roster) CheckFirstInZone(count int) (silence time.Duration, isFirst bool) {
	first := r.firstInZone(count)
	if len(first) < count || slices.Contains(first, r.selfPeer) {
		return 0, true
	}
	now := time.Now()
	silence = first[0].sinceHeard(now)
	for _, p := range first[1:] {
		silence = min(silence, p.sinceHeard(now))
	}
	if silence > maxSilence {
		r.query(now, first[rand.N(len(first))])
	}
	return silence, false
}

// firstInZone returns up to count responsive nodes of the zone, this one included, in the order of RankInZone.
func (r *Roster) firstInZone(count int) []*Peer {
	type ranked struct {
		peer   *Peer
		status Status
	}
	now := time.Now()
	zone := []ranked{{r.selfPeer, r.selfNode.Status()}}
	r.peers.Range(func(_ string, p *Peer) bool {
		if !p.isSelf && !p.unresponsive(now) {
			if status := p.Status(); status.Zone == r.zone && status.Boot != 0 {
				zone = append(zone, ranked{p, status})
			}
		}
		return true
	})
	slices.SortFunc(zone, func(a, b ranked) int {
		switch {
		case a.status.precedes(b.status):
			return -1
		case b.status.precedes(a.status):
			return 1
		}
		return strings.Compare(a.peer.addr.String(), b.peer.addr.String())
	})
	first := make([]*Peer, 0, count)
	for _, node := range zone[:min(count, len(zone))] {
		first = append(first, node.peer)
	}
	return first
}

// FirstInZone returns the datagram addresses of up to count other responsive nodes of the zone, in the order of RankInZone.
func (r *Roster) FirstInZone(count int) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, count)
	for _, p := range r.firstInZone(count + 1) { // one of them may be this node
		if !p.isSelf && len(addresses) < count {
			addresses = append(addresses, p.addr)
		}
	}
	return addresses
}

// query sends a load query to the peer that no request waits for.
func (r *Roster) query(now time.Time, p *Peer) {
	r.sender.QueryLoad(p.addr, r.beginQuery(now, p))
}

// beginQuery records a query that is about to be sent, and returns its sequence number.
func (r *Roster) beginQuery(now time.Time, p *Peer) uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sequence := r.lastSequence.Add(1)
	p.expireQuery(now)
	p.openQuery(now, sequence)
	return sequence
}

// IsStoreReader reports whether this node reads the store on behalf of all: it is the first by name of the responsive nodes
// that can reach the store.
func (r *Roster) IsStoreReader() bool {
	own := r.selfNode.Status()
	return own.StoreReachable && r.countPreceding(own, func(Status) bool { return true }) == 0
}

// RankInZone returns this node's rank among the responsive nodes of its zone, from 0. Nodes that can reach the store
// rank first, then names decide. During an outage of the store only the nodes with the lowest ranks keep trying.
func (r *Roster) RankInZone() int {
	return r.countPreceding(r.selfNode.Status(), func(other Status) bool { return other.Zone == r.zone })
}

// countPreceding counts the responsive nodes that match and precede own.
func (r *Roster) countPreceding(own Status, match func(Status) bool) int {
	count := 0
	now := time.Now()
	r.peers.Range(func(_ string, p *Peer) bool {
		if p.isSelf || p.unresponsive(now) {
			return true
		}
		if status := p.Status(); status.precedes(own) && match(status) {
			count++
		}
		return true
	})
	return count
}

// precedes reports whether the node ranks before the other for tasks that a few nodes perform for all.
func (s Status) precedes(other Status) bool {
	if s.StoreReachable != other.StoreReachable {
		return s.StoreReachable
	}
	return s.Node < other.Node
}
