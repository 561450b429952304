package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// gossipInterval is the time between two rounds of gossip.
	gossipInterval = 500 * time.Millisecond
	// gossipFanout is the number of responsive nodes contacted in each round.
	gossipFanout = 2
	// removeAfter is the time without any message after which a node is removed. It is longer than the partitions between
	// regions that must be tolerated: separated nodes find each other again only by contacting the nodes they still know.
	removeAfter = 10 * time.Minute
	// maxUnresponsivePerRound bounds the unresponsive nodes contacted in each round.
	maxUnresponsivePerRound = 8
	// maxNotified bounds the nodes notified of a change at once; the others learn of it with their next load query.
	maxNotified = 256
	// rebroadcastDelay is the time after which a change is broadcast a second time, for nodes that missed the first.
	rebroadcastDelay = 150 * time.Millisecond
	// MaxAddresses bounds the addresses in one status message.
	MaxAddresses = 6
)

// Run gossips with the other nodes until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.rebroadcast:
			if wait.For(ctx, rebroadcastDelay) {
				r.BroadcastStatus()
			}
		case <-ticker.C:
			r.gossip(time.Now())
		}
	}
}

// gossip runs one round: it contacts the nodes that were not heard from for longest and some of the unresponsive ones,
// and removes those beyond removeAfter. Taking the longest first bounds the time until each node is contacted, which a
// random choice would not.
func (r *Roster) gossip(now time.Time) {
	r.changes.flush()
	var unresponsive, others []*Peer
	r.peers.Range(func(key string, p *Peer) bool {
		switch {
		case p.isSelf:
		case p.sinceHeard(now) > removeAfter:
			r.remove(key, p)
		case p.unresponsive(now) || p.Status().Boot == 0:
			unresponsive = append(unresponsive, p)
		default:
			others = append(others, p)
		}
		return true
	})
	for _, p := range sample(unresponsive, maxUnresponsivePerRound) {
		r.sendStatus(p, true)
	}
	slices.SortFunc(others, func(a, b *Peer) int { return cmp.Compare(b.sinceHeard(now), a.sinceHeard(now)) })
	for _, p := range others[:min(gossipFanout, len(others))] {
		p.countGossipAsQuery(now)
		r.sendStatus(p, true)
		r.contacted(p.addr)
	}
}

// countGossipAsQuery treats the status message about to be sent as an open query, so that a node which receives no
// requests can become unresponsive too.
func (p *Peer) countGossipAsQuery(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireQuery(now)
	if !p.query.open && now.Sub(p.lastHeard) > gossipInterval {
		p.query.open, p.query.sentAt = true, now
	}
}

func (p *Peer) sinceHeard(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastHeard)
}

func (r *Roster) remove(key string, p *Peer) {
	before := p.Status()
	r.peers.Delete(key)
	r.updateServices(p, before, Status{Node: before.Node, Boot: before.Boot, Revision: before.Revision + 1})
}

// BroadcastStatus broadcasts the status of this node and, with it, the version of its contracts.
func (r *Roster) BroadcastStatus() {
	status := r.selfNode.Status()
	for _, addr := range r.Addresses(maxNotified) {
		r.sender.SendStatus(addr, StatusMessage{Status: status})
		r.evacuations.SendTo(addr)
		r.sendOwnDeparture(addr)
		r.sendOwnRateLimit(addr)
	}
}

// Introduce sends each node that has been heard of the addresses of some others, so that nodes which started together find each
// other before the next rounds of gossip.
func (r *Roster) Introduce() {
	r.peers.Range(func(_ string, p *Peer) bool {
		if !p.isSelf && p.Status().Boot != 0 {
			r.sendStatus(p, false)
		}
		return true
	})
}

func (r *Roster) sendStatus(p *Peer, reply bool) {
	r.sendRateLimits(p) // first, so that a node which has started again knows the limit when it takes its upstream into service
	r.sender.SendStatus(p.addr, StatusMessage{Status: r.selfNode.Status(), Addresses: r.heardAddresses(), ReplyRequested: reply, Previous: p.previousUpstream()})
	r.evacuations.SendTo(p.addr)
	r.sendDepartures(p)
}

// Addresses returns the datagram addresses of up to limit random nodes, without this one and unresponsive ones.
func (r *Roster) Addresses(limit int) []netip.AddrPort {
	return r.sampleAddresses(limit, func(*Peer) bool { return true })
}

// heardAddresses returns addresses to pass on to other nodes: those of nodes that have sent a status. Nodes would pass on
// any other address to each other for ever, each time as a new one.
func (r *Roster) heardAddresses() []netip.AddrPort {
	return r.sampleAddresses(MaxAddresses, func(p *Peer) bool { return p.Status().Boot != 0 })
}

// sampleAddresses returns the addresses of up to limit random responsive nodes that match, without this one.
func (r *Roster) sampleAddresses(limit int, match func(*Peer) bool) []netip.AddrPort {
	var all []netip.AddrPort
	now := time.Now()
	r.peers.Range(func(_ string, p *Peer) bool {
		if !p.isSelf && !p.unresponsive(now) && match(p) {
			all = append(all, p.addr)
		}
		return true
	})
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}
