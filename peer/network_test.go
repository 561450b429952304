package peer_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// node is a stand-in for another node. It answers load queries after the delay, unless it is down.
type node struct {
	status peer.Status
	load   peer.Load
	delay  time.Duration
	down   bool
	asked  int                   // load queries received
	limit  peer.RateLimitMessage // sent with each load
}

// network carries datagrams between one Roster and stand-in nodes.
type network struct {
	mu         sync.Mutex
	nodes      map[netip.AddrPort]*node
	roster     *peer.Roster
	self       *own
	introduced map[netip.AddrPort]int
	former     map[netip.AddrPort]peer.PreviousUpstream   // last sent to each node
	departures map[netip.AddrPort][]peer.DepartureMessage // sent to each node
	limits     map[netip.AddrPort][]peer.RateLimitMessage // sent to each node
}

func (n *network) QueryLoad(to netip.AddrPort, number uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, ok := n.nodes[to]
	if !ok || other.down {
		return
	}
	other.asked++
	load := other.load
	load.Boot, load.Revision, load.Serving = other.status.Boot, other.status.Revision, other.status.Serving
	limit := other.limit
	time.AfterFunc(other.delay, func() {
		if limit.Named {
			n.roster.HandleRateLimit(to, limit)
		}
		n.roster.HandleLoad(to, number, load)
	})
}

func (n *network) Probe(to netip.AddrPort, number uint32) { n.QueryLoad(to, number) }

func (n *network) SendStatus(to netip.AddrPort, i peer.StatusMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.introduced[to]++
	n.former[to] = i.Previous
	other, ok := n.nodes[to]
	if !ok || other.down || !i.ReplyRequested {
		return
	}
	status := other.status
	time.AfterFunc(other.delay, func() { n.roster.HandleStatus(to, peer.StatusMessage{Status: status}) })
}

func (n *network) SendDeparture(to netip.AddrPort, m peer.DepartureMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.departures == nil {
		n.departures = make(map[netip.AddrPort][]peer.DepartureMessage)
	}
	n.departures[to] = append(n.departures[to], m)
}

func (n *network) SendRateLimit(to netip.AddrPort, m peer.RateLimitMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.limits == nil {
		n.limits = make(map[netip.AddrPort][]peer.RateLimitMessage)
	}
	n.limits[to] = append(n.limits[to], m)
}

// change modifies a node under the lock.
func (n *network) change(i int, change func(*node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.nodes[address(i)])
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// own is a stand-in for the status and load of this node.
type own struct {
	status    peer.Status
	load      peer.Load
	recalled  []peer.PreviousUpstream
	departure peer.Departure
	learned   []peer.Departure
	limit     peer.RateLimit
	told      []peer.RateLimit
}

func (o *own) Status() peer.Status                           { return o.status }
func (o *own) Load(time.Time) peer.Load                      { return o.load }
func (o *own) LearnPreviousUpstream(f peer.PreviousUpstream) { o.recalled = append(o.recalled, f) }
func (o *own) Departure() peer.Departure                     { return o.departure }
func (o *own) LearnDeparture(d peer.Departure)               { o.learned = append(o.learned, d) }
func (o *own) RateLimit(time.Time) peer.RateLimit            { return o.limit }
func (o *own) LastLoad(now time.Time) peer.Load              { return o.Load(now) }
func (o *own) LearnRateLimit(l peer.RateLimit)               { o.told = append(o.told, l) }

// rosterOf returns a Roster that knows count nodes. Node i is at address(i), in zone "z<i%2>".
func rosterOf(t *testing.T, count int) (*network, *peer.Roster) {
	t.Helper()
	n := &network{
		nodes: make(map[netip.AddrPort]*node), introduced: make(map[netip.AddrPort]int), former: make(map[netip.AddrPort]peer.PreviousUpstream),
		self: &own{status: peer.Status{Node: "n5", Boot: 99, Zone: "z0", StoreReachable: true}},
	}
	for i := 1; i <= count; i++ {
		n.nodes[address(i)] = &node{
			status: peer.Status{
				Node: fmt.Sprintf("n%d", i), Boot: uint64(i), Revision: 1, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("z%d", i%2),
				Service: "s", Upstream: fmt.Sprintf("u%d", i), Slots: 10, Serving: true, StoreReachable: true,
			},
			load: peer.Load{Limit: 8, ServiceTimePercent: 100}, delay: time.Millisecond,
		}
	}
	n.roster = peer.NewRoster(peer.Options{
		Zone: "z0", Address: address(200), Routing: peer.Routing{FreshFor: 20 * time.Millisecond, ZoneCost: time.Millisecond},
		Sender: n, Self: n.self, Log: slog.New(slog.DiscardHandler),
	})
	for i := 1; i <= count; i++ {
		n.roster.AddNode(address(i))
	}
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	return n, n.roster
}

func choose(t *testing.T, r *peer.Roster) peer.Candidate {
	t.Helper()
	chosen, err := r.Choose(context.Background(), peer.Criteria{Service: "s", ServiceTime: 100 * time.Millisecond, Bytes: 1024})
	assert.NilError(t, err)
	return chosen
}
