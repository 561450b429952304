package peer

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

// rosterShards is the number of shards of each map of a Roster.
const rosterShards = 16

// Sender sends datagrams to other nodes. Its methods do not block, and any datagram may be lost.
type Sender interface {
	// QueryLoad queries the load of a node. The answer carries the same sequence number.
	QueryLoad(to netip.AddrPort, sequence uint32)
	// Probe queries the last known load of a node, without a health check of its upstream. The answer is as to QueryLoad.
	Probe(to netip.AddrPort, sequence uint32)
	// SendStatus sends this node's status to another.
	SendStatus(to netip.AddrPort, i StatusMessage)
	// SendRateLimit reports a rate limit to another node.
	SendRateLimit(to netip.AddrPort, m RateLimitMessage)
	// SendDeparture reports a departure to another node.
	SendDeparture(to netip.AddrPort, m DepartureMessage)
}

// Self is the source of this node's own status and load.
type Self interface {
	Status() Status
	Load(now time.Time) Load
	// LastLoad is Load without a health check of the upstream.
	LastLoad(now time.Time) Load
	// LearnPreviousUpstream receives what another node knows of the upstream that this node had before its restart.
	LearnPreviousUpstream(PreviousUpstream)
	// Departure returns the departure of the upstream beside this node, the zero value while it has not departed.
	Departure() Departure
	// LearnDeparture receives the departure of the upstream beside this node, which another node knows from before a restart.
	LearnDeparture(Departure)
	// RateLimit returns the rate limit of the upstream beside this node, the zero value when it has never named one.
	RateLimit(now time.Time) RateLimit
	// LearnRateLimit receives the rate limit of the upstream beside this node, which another node knows from before a restart.
	LearnRateLimit(RateLimit)
}

// Options configures a Roster.
type Options struct {
	Zone    string
	Address netip.AddrPort // datagram address of this node
	Routing Routing
	Sender  Sender
	Self    Self
	// OnStoreReachable, when not nil, is called when another node reports that it can reach the store again. No lock is held, and
	// it must not block.
	OnStoreReachable func()
	// OnContact, when not nil, is called with each node that has started and with those that a round of gossip contacts, which are
	// all of them by turns. No lock is held, and it must not block.
	OnContact func(addr netip.AddrPort)
	// Evacuations are the evacuated zones, whose nodes are not chosen. nil: there are none.
	Evacuations *Evacuations
	Log         *slog.Logger
}

// Routing holds the settings by which a Roster chooses a node.
type Routing struct {
	FreshFor time.Duration // age up to which a load is used without another query
	ZoneCost time.Duration // latency that must be saved for each KiB moved between zones
}

// Roster is the set of known nodes, this one included. It is safe for concurrent use.
type Roster struct {
	zone         string
	routing      atomic.Pointer[Routing]
	sender       Sender
	selfNode     Self
	selfPeer     *Peer
	storeReached func()
	contacted    func(netip.AddrPort)
	evacuations  *Evacuations
	log          *slog.Logger
	changes      *changeLog
	members      memberCache

	peers        *shard.Map[string, *Peer]        // by datagram address
	services     *shard.Map[string, serviceNodes] // by service
	servicesMu   sync.Mutex                       // held while a peer moves from one service to another
	lastSequence atomic.Uint32
	rebroadcast  chan struct{}
}

// NewRoster returns a roster that knows only this node.
func NewRoster(o Options) *Roster {
	r := &Roster{
		zone: o.Zone, sender: o.Sender, selfNode: o.Self, storeReached: o.OnStoreReachable, contacted: o.OnContact,
		evacuations: o.Evacuations, log: o.Log, changes: newChangeLog(o.Log),
		peers:       shard.NewString[string, *Peer](rosterShards),
		services:    shard.NewString[string, serviceNodes](rosterShards),
		rebroadcast: make(chan struct{}, 1),
	}
	if r.storeReached == nil {
		r.storeReached = func() {}
	}
	if r.contacted == nil {
		r.contacted = func(netip.AddrPort) {}
	}
	r.routing.Store(&o.Routing)
	r.selfPeer = &Peer{addr: o.Address, isSelf: true}
	r.peers.Set(o.Address.String(), r.selfPeer)
	return r
}

func (r *Roster) SetRouting(routing Routing) { r.routing.Store(&routing) }

// Service returns the nodes whose upstream belongs to the service.
func (r *Roster) Service(name string) []*Peer {
	nodes, _ := r.services.Get(name)
	return nodes.all()
}

// Len returns the number of known nodes, this one included.
func (r *Roster) Len() int { return r.peers.Len() }

// HeardPeers returns the number of other nodes that have been heard of.
func (r *Roster) HeardPeers() int {
	heard := 0
	r.peers.Range(func(_ string, p *Peer) bool {
		if !p.isSelf && p.Status().Boot != 0 {
			heard++
		}
		return true
	})
	return heard
}

// ForwardAddress returns the address for forwarded requests of the node at a datagram address, "" when it is unknown.
func (r *Roster) ForwardAddress(addr netip.AddrPort) string {
	if p, ok := r.peers.Get(addr.String()); ok {
		return p.Status().Address
	}
	return ""
}

// getOrAdd returns the node at the address and adds it when it is new.
func (r *Roster) getOrAdd(addr netip.AddrPort) (p *Peer, added bool) {
	p = r.peers.GetOrCreate(addr.String(), func() *Peer {
		added = true
		return &Peer{addr: addr, lastHeard: time.Now()}
	})
	return p, added
}

// reachable reports whether a node can be at the address. An entry of the store or a message may hold any other.
func (r *Roster) reachable(addr netip.AddrPort) bool {
	ip := addr.Addr()
	sameFamily := ip.Is4() == r.selfPeer.addr.Addr().Is4()
	return addr.Port() != 0 && sameFamily && !ip.IsUnspecified() && !ip.IsMulticast() && ip != limitedBroadcast
}

// limitedBroadcast is the IPv4 address of all machines of a link.
var limitedBroadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// AddNode adds the address of a possible node and, when it is new, sends this node's status there.
func (r *Roster) AddNode(addr netip.AddrPort) {
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if !r.reachable(addr) {
		r.log.Debug("address of a node ignored", "address", addr.String())
		return
	}
	if p, added := r.getOrAdd(addr); added && !p.isSelf {
		r.sendStatus(p, true)
	}
}

// HandleStatus handles a status message from another node.
func (r *Roster) HandleStatus(from netip.AddrPort, i StatusMessage) {
	if own := r.selfNode.Status(); i.Status.Node == own.Node && i.Status.Boot == own.Boot {
		return // a message of this node that came back by another of its addresses
	}
	p, added := r.getOrAdd(from)
	if p.isSelf {
		return
	}
	before := p.updateStatus(time.Now(), i.Status)
	r.updateServices(p, before, p.Status())
	if i.Status.StoreReachable && !before.StoreReachable && before.Boot == i.Status.Boot {
		r.storeReached()
	}
	if i.Previous.Upstream != "" {
		r.selfNode.LearnPreviousUpstream(i.Previous)
	}
	if i.ReplyRequested || added || p.forgottenDeparture().Upstream != "" {
		r.sendStatus(p, false)
	}
	if before.Boot != i.Status.Boot {
		r.contacted(from)
	}
	for _, addr := range i.Addresses {
		r.AddNode(addr)
	}
}

// HandleLoad handles a node's answer to a load query.
func (r *Roster) HandleLoad(from netip.AddrPort, sequence uint32, load Load) {
	p, added := r.getOrAdd(from)
	if p.isSelf {
		return
	}
	if stale := p.updateLoad(time.Now(), sequence, load); stale || added {
		r.sendStatus(p, true)
	}
}

// AnswerLoadQuery returns the load of this node in answer to a query. A sender that is new is added to the roster.
func (r *Roster) AnswerLoadQuery(from netip.AddrPort) Load {
	r.AddNode(from)
	return r.selfNode.Load(time.Now())
}

// AnswerProbe returns the last known load of this node in answer to a probe.
func (r *Roster) AnswerProbe(from netip.AddrPort) Load {
	r.AddNode(from)
	return r.selfNode.LastLoad(time.Now())
}

// UpdateOwnStatus applies a change of this node's status and broadcasts it.
func (r *Roster) UpdateOwnStatus() {
	status := r.selfNode.Status()
	before := r.selfPeer.updateStatus(time.Now(), status)
	r.updateServices(r.selfPeer, before, status)
	r.BroadcastStatus()
	select {
	case r.rebroadcast <- struct{}{}:
	default:
	}
}

// InZone reports whether the node at the datagram address is known and in this node's zone.
func (r *Roster) InZone(addr netip.AddrPort) bool {
	p, ok := r.peers.Get(addr.String())
	return ok && p.Status().Zone == r.zone
}

// refreshSelf updates the load of this node itself.
func (r *Roster) refreshSelf(now time.Time) {
	load := r.selfNode.Load(now)
	r.selfPeer.mu.Lock()
	defer r.selfPeer.mu.Unlock()
	r.selfPeer.load, r.selfPeer.loadAt, r.selfPeer.lastHeard = load, time.Now(), now
	r.selfPeer.limit = reportedLimit{load.RateLimit, load.Boot, r.selfPeer.loadAt}
}

// updateServices moves the peer between the lists of services after a change of its status, and logs the change.
func (r *Roster) updateServices(p *Peer, before, after Status) {
	if before.Boot == after.Boot && before.Revision == after.Revision {
		return
	}
	r.changes.record(after)
	if before.Service == after.Service && before.Zone == after.Zone {
		return
	}
	r.servicesMu.Lock()
	defer r.servicesMu.Unlock()
	if before.Service != "" {
		r.services.Update(before.Service, func(nodes serviceNodes, _ bool) (serviceNodes, bool) {
			next := nodes.without(p)
			return next, len(next.sameZone)+len(next.otherZones) > 0
		})
	}
	if after.Service != "" {
		r.services.Update(after.Service, func(nodes serviceNodes, _ bool) (serviceNodes, bool) {
			return nodes.with(p, after.Zone == r.zone), true
		})
	}
}
