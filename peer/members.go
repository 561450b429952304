package peer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// Member is another node that counts in the division of quotas. It is one until it reports that it stops, or
// has been silent for removeAfter.
type Member struct {
	Name      string // "" while the node has not been heard of
	Addr      netip.AddrPort
	Reachable bool // it answers
	Settled   bool // it has answered for settleTime without a break
}

// settleTime is the time after which a node that has started, or is back after a silence, counts as settled: it knows the others, and
// they know it.
const settleTime = time.Second

// memberCache keeps the members for membersAge.
type memberCache struct {
	list atomic.Pointer[memberList]
}

type memberList struct {
	members []Member
	at      time.Time
}

// membersAge is the time for which the list of members is kept. Collecting it costs a pass over all nodes.
const membersAge = 100 * time.Millisecond

// Members returns the other members, in the order of their addresses. The slice is shared and must not be modified; it is the same one
// while nothing has changed.
func (r *Roster) Members() []Member {
	now := time.Now()
	kept := r.members.list.Load()
	if kept != nil && now.Sub(kept.at) < membersAge {
		return kept.members
	}
	var members []Member
	r.peers.Range(func(_ string, p *Peer) bool {
		if m, ok := p.member(now); ok {
			members = append(members, m)
		}
		return true
	})
	slices.SortFunc(members, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	if kept != nil && slices.Equal(kept.members, members) {
		members = kept.members
	}
	r.members.list.Store(&memberList{members, now})
	return members
}

// member returns the peer as a member, unless it is this node or has stopped. One that only the store or another node has named counts
// too: it may be out of reach.
func (p *Peer) member(now time.Time) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isSelf || p.stopped != 0 && (p.stopped == p.status.Boot || p.status.Boot == 0) {
		return Member{}, false
	}
	reachable := p.status.Boot != 0 && !p.isUnresponsive(now)
	if !reachable {
		p.silentAt = now
	}
	settled := reachable && now.Sub(p.silentAt) >= settleTime && now.Sub(p.ended.at) >= settleTime
	return Member{Name: p.status.Node, Addr: p.addr, Reachable: reachable, Settled: settled}, true
}

// StoppedRun is the run of a node that has reported that it stops.
type StoppedRun struct {
	Addr netip.AddrPort
	Boot uint64
}

// HandleStop handles the message that a run of a node stops, of that node or of another. One of an earlier run, which may be late, does
// not end the membership of the present one.
func (r *Roster) HandleStop(stopped StoppedRun) {
	p, ok := r.peers.Get(stopped.Addr.String())
	if !ok || p.isSelf {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if stopped.Boot != p.ended.boot && (p.stopped == 0 || p.stopped != p.status.Boot) {
		p.stopped = stopped.Boot
	}
}

// maxStopsPerNode bounds the stopped runs reported to another node at once.
const maxStopsPerNode = 8

// StoppedRuns returns some of the runs that have stopped, for a node that does not know of them: it may find their addresses in the
// store until their leases end.
func (r *Roster) StoppedRuns() []StoppedRun {
	var runs []StoppedRun
	r.peers.Range(func(_ string, p *Peer) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.stopped != 0 && p.stopped == p.status.Boot {
			runs = append(runs, StoppedRun{p.addr, p.stopped})
		}
		return true
	})
	rand.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
	return runs[:min(maxStopsPerNode, len(runs))]
}

const (
	// probeAfter is the silence after which a member is probed, and maxProbes the number of members probed at once while all answer.
	probeAfter = 200 * time.Millisecond
	maxProbes  = 2
	// maxOutageProbes is the number probed at once while some do not answer: a link or a zone may have failed.
	maxOutageProbes = 256
)

// Probe queries members that have been silent, the longest first, so that a node which gets no requests knows soon that others are out
// of reach. It is called every 100 ms. While a probe is unanswered it queries all that may be out of reach too.
func (r *Roster) Probe() {
	type silentPeer struct {
		peer   *Peer
		silent time.Duration
	}
	now := time.Now()
	limit, silence := maxProbes, probeAfter
	var list []silentPeer
	r.peers.Range(func(_ string, p *Peer) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireQuery(now)
		if p.isSelf || p.status.Boot == 0 || p.stopped == p.status.Boot || p.isUnresponsive(now) {
			return true // rounds of gossip try the unresponsive ones
		}
		if p.query.unanswered > 0 {
			limit, silence = maxOutageProbes, queryTimeout
		}
		list = append(list, silentPeer{p, now.Sub(p.lastHeard)})
		return true
	})
	slices.SortFunc(list, func(a, b silentPeer) int { return cmp.Compare(b.silent, a.silent) })
	for _, s := range list[:min(limit, len(list))] {
		if s.silent <= silence {
			break
		}
		r.probe(now, s.peer)
	}
}

// ProbeNode queries the node at the address, which did not answer another message.
func (r *Roster) ProbeNode(addr netip.AddrPort) {
	if p, ok := r.peers.Get(addr.String()); ok && !p.isSelf {
		r.probe(time.Now(), p)
	}
}

// probe queries the peer unless a query may still be answered.
func (r *Roster) probe(now time.Time, p *Peer) {
	p.mu.Lock()
	waiting := p.query.open && now.Sub(p.query.sentAt) <= queryTimeout
	p.mu.Unlock()
	if !waiting {
		r.sender.Probe(p.addr, r.beginQuery(now, p))
	}
}
