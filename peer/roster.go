package peer

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	rosterShards = 16
	// meetInterval is how often a node introduces itself to a few others and to those that went silent.
	meetInterval = 500 * time.Millisecond
	// meetCount is the number of nodes met each time, beside the silent ones.
	meetCount = 2
	// forgetAfter is the silence after which a node is forgotten. It is longer than the partitions between regions that
	// are to be borne, since nodes that were cut off from each other find each other again by asking.
	forgetAfter = 10 * time.Minute
	// silentPerMeet bounds the silent nodes asked at one time.
	silentPerMeet = 8
	// maxNotified bounds the nodes told of a change at once; the others learn of it with the next load that they ask for.
	maxNotified = 256
	// repeatNotice is the time after which a notice is sent again, for those that missed the first.
	repeatNotice = 150 * time.Millisecond
	// MaxKnown bounds the addresses that one introduction passes on.
	MaxKnown = 6
)

// Sender sends datagrams to other nodes. None of its calls blocks, and any datagram may be lost.
type Sender interface {
	// Ask asks a node for its load.
	Ask(to netip.AddrPort, number uint32)
	// Introduce introduces this node to another.
	Introduce(to netip.AddrPort, i Introduction)
}

// Self is this node as the others see it.
type Self interface {
	Status() Status
	Load(now time.Time) Load
	// Recall takes what another node knows of the upstream that this one had before it was started again.
	Recall(Former)
}

// Options of a roster.
type Options struct {
	Zone    string
	Address netip.AddrPort // where this node takes datagrams
	Routing Routing
	Sender  Sender
	Self    Self
	// Reached is called, without a lock, when another node tells that it reaches the store again. It must not block; nil is
	// not called.
	Reached func()
	Log     *slog.Logger
}

// Routing is how a roster chooses.
type Routing struct {
	FreshFor time.Duration // age up to which a load is used without asking again
	ZoneCost time.Duration // cost of moving 1 KiB between zones, as time to the answer that it may save
}

// Roster holds the nodes that this one knows, itself included. It is safe for concurrent use.
type Roster struct {
	zone     string
	routing  atomic.Pointer[Routing]
	sender   Sender
	selfNode Self
	self     *Peer
	reached  func()
	log      *slog.Logger

	peers    *shard.Map[string, *Peer] // by datagram address
	services *shard.Map[string, []*Peer]
	moving   sync.Mutex // held while a peer moves from one service to another
	numbers  atomic.Uint32
	notices  chan struct{}
}

// NewRoster returns a roster that knows only this node.
func NewRoster(o Options) *Roster {
	r := &Roster{
		zone: o.Zone, sender: o.Sender, selfNode: o.Self, reached: o.Reached, log: o.Log,
		peers:    shard.NewString[string, *Peer](rosterShards),
		services: shard.NewString[string, []*Peer](rosterShards),
		notices:  make(chan struct{}, 1),
	}
	if r.reached == nil {
		r.reached = func() {}
	}
	r.routing.Store(&o.Routing)
	r.self = &Peer{addr: o.Address, self: true}
	r.peers.Set(o.Address.String(), r.self)
	return r
}

// SetRouting changes how the roster chooses from now on.
func (r *Roster) SetRouting(routing Routing) { r.routing.Store(&routing) }

// Service returns the nodes whose upstream belongs to the service. The caller must not change the list.
func (r *Roster) Service(name string) []*Peer {
	list, _ := r.services.Get(name)
	return list
}

// Len returns the number of known nodes, this one included.
func (r *Roster) Len() int { return r.peers.Len() }

// Addresses returns up to most random addresses of nodes other than this one that are not silent.
func (r *Roster) Addresses(most int) []netip.AddrPort {
	var all []netip.AddrPort
	now := time.Now()
	r.peers.Range(func(_ string, p *Peer) bool {
		if !p.self && !p.silent(now) {
			all = append(all, p.addr)
		}
		return true
	})
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}

// ForwardAddress returns where the node at a datagram address takes forwarded requests, "" when it is unknown.
func (r *Roster) ForwardAddress(addr netip.AddrPort) string {
	if p, ok := r.peers.Get(addr.String()); ok {
		return p.Status().Address
	}
	return ""
}

// peer returns the node at the address, adding it when it is new.
func (r *Roster) peer(addr netip.AddrPort) (p *Peer, added bool) {
	p = r.peers.GetOrCreate(addr.String(), func() *Peer {
		added = true
		return &Peer{addr: addr, heardAt: time.Now()}
	})
	return p, added
}

// Learn takes the address of a node that may be there, and introduces this node to it when it is new.
func (r *Roster) Learn(addr netip.AddrPort) {
	if p, added := r.peer(addr); added && !p.self {
		r.introduce(p, true)
	}
}

// Heard takes the introduction of another node.
func (r *Roster) Heard(from netip.AddrPort, i Introduction) {
	p, added := r.peer(from)
	if p.self {
		return
	}
	before := p.takeStatus(time.Now(), i.Status)
	r.move(p, before, p.Status())
	if i.Status.Follows && !before.Follows && before.Boot == i.Status.Boot {
		r.reached()
	}
	if i.Former.Upstream != "" {
		r.selfNode.Recall(i.Former)
	}
	if i.Reply || added {
		r.introduce(p, false)
	}
	for _, addr := range i.Known {
		r.Learn(addr)
	}
}

// HeardLoad takes the answer of a node to a question.
func (r *Roster) HeardLoad(from netip.AddrPort, number uint32, load Load) {
	p, added := r.peer(from)
	if p.self {
		return
	}
	if stale := p.takeLoad(time.Now(), number, load); stale || added {
		r.introduce(p, true)
	}
}

// Answer returns the load of this node for one that asks. An unknown asker is introduced to.
func (r *Roster) Answer(from netip.AddrPort) Load {
	r.Learn(from)
	return r.selfNode.Load(time.Now())
}

// Changed tells the other nodes that the status of this one has changed.
func (r *Roster) Changed() {
	status := r.selfNode.Status()
	before := r.self.takeStatus(time.Now(), status)
	r.move(r.self, before, status)
	r.notify()
	select {
	case r.notices <- struct{}{}:
	default:
	}
}

// Notify tells the other nodes the status of this one, and with it the version of its contracts.
func (r *Roster) Notify() { r.notify() }

// OnDuty reports whether this node is the one that reads the store for all: the first by name of those that reach it and
// answer.
func (r *Roster) OnDuty() bool {
	own := r.selfNode.Status()
	return own.Follows && r.before(own, func(Status) bool { return true }) == 0
}

// RankInZone returns the number of nodes of this one's zone that answer and come before it: those that reach the store
// before those that do not, and then by name. So a few nodes go on trying for all while the store is away.
func (r *Roster) RankInZone() int {
	return r.before(r.selfNode.Status(), func(other Status) bool { return other.Zone == r.zone })
}

// before counts the nodes that answer, match and come before own.
func (r *Roster) before(own Status, match func(Status) bool) int {
	count := 0
	now := time.Now()
	r.peers.Range(func(_ string, p *Peer) bool {
		if p.self || p.silent(now) {
			return true
		}
		if status := p.Status(); status.precedes(own) && match(status) {
			count++
		}
		return true
	})
	return count
}

// precedes reports whether the node comes before the other for work that a few do for all.
func (s Status) precedes(other Status) bool {
	if s.Follows != other.Follows {
		return s.Follows
	}
	return s.Node < other.Node
}

// InZone reports whether the node at the datagram address is known to be in this node's zone.
func (r *Roster) InZone(addr netip.AddrPort) bool {
	p, ok := r.peers.Get(addr.String())
	return ok && p.Status().Zone == r.zone
}

func (r *Roster) notify() {
	status := r.selfNode.Status()
	for _, addr := range r.Addresses(maxNotified) {
		r.sender.Introduce(addr, Introduction{Status: status})
	}
}

// refreshSelf brings the load of this node itself up to date.
func (r *Roster) refreshSelf(now time.Time) {
	load := r.selfNode.Load(now)
	r.self.mu.Lock()
	defer r.self.mu.Unlock()
	r.self.load, r.self.loadAt, r.self.heardAt = load, time.Now(), now
}

func (r *Roster) introduce(p *Peer, reply bool) {
	r.sender.Introduce(p.addr, Introduction{Status: r.selfNode.Status(), Known: r.Addresses(MaxKnown), Reply: reply, Former: p.formerUpstream()})
}

// move brings the lists of services up to date after a change of status.
func (r *Roster) move(p *Peer, before, after Status) {
	if before.Boot == after.Boot && before.Revision == after.Revision {
		return
	}
	r.log.Info("peer changed", "peer", after.Node, "boot", after.Boot, "revision", after.Revision, "service", after.Service,
		"upstream", after.Upstream, "serving", after.Serving, "slots", after.Slots, "zone", after.Zone)
	if before.Service == after.Service {
		return
	}
	r.moving.Lock()
	defer r.moving.Unlock()
	if before.Service != "" {
		r.services.Update(before.Service, func(held []*Peer, _ bool) ([]*Peer, bool) {
			next := slices.DeleteFunc(slices.Clone(held), func(other *Peer) bool { return other == p })
			return next, len(next) > 0
		})
	}
	if after.Service != "" {
		r.services.Update(after.Service, func(held []*Peer, _ bool) ([]*Peer, bool) {
			return append(slices.Clone(held), p), true
		})
	}
}

// Run keeps in touch with the other nodes until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(meetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.notices:
			if wait.For(ctx, repeatNotice) {
				r.notify()
			}
		case <-ticker.C:
			r.meet(time.Now())
		}
	}
}

// meet introduces this node to those of the others that it has not heard for longest and to some of the silent ones, and
// forgets those that are long silent. Each node is met after a bounded time, which a random choice would not ensure.
func (r *Roster) meet(now time.Time) {
	var silent, others []*Peer
	r.peers.Range(func(key string, p *Peer) bool {
		switch {
		case p.self:
		case p.silentFor(now) > forgetAfter:
			r.forget(key, p)
		case p.silent(now) || p.Status().Boot == 0:
			silent = append(silent, p)
		default:
			others = append(others, p)
		}
		return true
	})
	for _, p := range sample(silent, silentPerMeet) {
		r.introduce(p, true)
	}
	slices.SortFunc(others, func(a, b *Peer) int { return cmp.Compare(b.silentFor(now), a.silentFor(now)) })
	for _, p := range others[:min(meetCount, len(others))] {
		p.met(now)
		r.introduce(p, true)
	}
}

// met counts the introduction as a question, so that a node to which no request goes is found silent too.
func (p *Peer) met(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if !p.question.open && now.Sub(p.heardAt) > meetInterval {
		p.question.open, p.question.sentAt = true, now
	}
}

func (p *Peer) silentFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heardAt)
}

func (r *Roster) forget(key string, p *Peer) {
	before := p.Status()
	r.peers.Delete(key)
	r.move(p, before, Status{Node: before.Node, Boot: before.Boot, Revision: before.Revision + 1})
}
