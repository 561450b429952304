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
	asked  int // load queries received
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
	time.AfterFunc(other.delay, func() { n.roster.HandleLoad(to, number, load) })
}

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
}

func (o *own) Status() peer.Status                           { return o.status }
func (o *own) Load(time.Time) peer.Load                      { return o.load }
func (o *own) LearnPreviousUpstream(f peer.PreviousUpstream) { o.recalled = append(o.recalled, f) }
func (o *own) Departure() peer.Departure                     { return o.departure }
func (o *own) LearnDeparture(d peer.Departure)               { o.learned = append(o.learned, d) }

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

// Guards against a choice by an outdated load: the loads change between two requests.
func TestChooseQueriesCurrentLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 4)
		for _, best := range []int{2, 4, 2, 4} {
			for i := 1; i <= 4; i++ {
				n.change(i, func(other *node) { other.load.ServiceTimePercent = 500 })
			}
			n.change(best, func(other *node) { other.load.ServiceTimePercent = 100 })
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, choose(t, r).Status.Node, fmt.Sprintf("n%d", best))
		}
	})
}

// Guards against a query per request: a load that was just received serves many requests.
func TestFreshLoadIsNotQueriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 3)
		for range 10 {
			choose(t, r)
		}
		for i := 1; i <= 3; i++ {
			n.change(i, func(other *node) { assert.Check(t, other.asked <= 1, "asked %d times", other.asked) })
		}
	})
}

// Guards against requests that all go to one upstream between two load answers.
func TestPlacedRequestsCountAsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := rosterOf(t, 4)
		counts := make(map[string]int)
		for range 24 {
			counts[choose(t, r).Status.Node]++
		}
		for name, count := range counts {
			assert.Check(t, count <= 12, "%s got %d of 24: %v", name, count, counts)
		}
	})
}

// Guards against requests that wait for a node that is down, and against a node that is not used again once it is back.
func TestUnresponsiveNodeIsExcludedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		go r.Run(t.Context())
		n.change(2, func(other *node) { other.down = true })
		for range 20 {
			assert.Equal(t, choose(t, r).Status.Node, "n1")
			time.Sleep(100 * time.Millisecond)
		}
		began := time.Now()
		choose(t, r)
		assert.Check(t, time.Since(began) <= 2*time.Millisecond, "an unresponsive node delayed a request by %v", time.Since(began))
		n.change(2, func(other *node) { other.down = false })
		time.Sleep(2 * time.Second)
		n.change(1, func(other *node) { other.load.Running = 8 })
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, choose(t, r).Status.Node, "n2")
	})
}

// Guards against a request that is delayed for long when no node answers in time.
func TestChooseBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 3)
		for i := 1; i <= 3; i++ {
			n.change(i, func(other *node) { other.delay = time.Second })
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		choose(t, r)
		assert.Check(t, time.Since(began) <= 30*time.Millisecond, "waited %v", time.Since(began))
	})
}

// Guards against requests to an upstream that has stopped serving, and to a previous boot of a node.
func TestChooseUsesLatestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		n.change(1, func(other *node) { other.status.Serving, other.status.Revision = false, 2 })
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, choose(t, r).Status.Node, "n2")
		// A delayed datagram of the same boot must not restore the old status.
		r.HandleStatus(address(1), peer.StatusMessage{Status: peer.Status{Node: "n1", Boot: 1, Revision: 1, Service: "s", Upstream: "u1", Serving: true}})
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, choose(t, r).Status.Node, "n2")
		// The node has restarted with another upstream.
		n.change(2, func(other *node) { other.status.Boot, other.status.Upstream = 22, "u9" })
		time.Sleep(50 * time.Millisecond)
		_ = choose(t, r)
		time.Sleep(50 * time.Millisecond)
		chosen := choose(t, r)
		assert.Equal(t, chosen.Status.Boot, uint64(22))
		assert.Equal(t, chosen.Status.Upstream, "u9")
	})
}

// Guards against an upstream that attracts requests because it fails fast and looks idle, and against one that is avoided
// for ever.
func TestFailuresRaiseCostAndDecay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 4)
		n.change(2, func(other *node) { other.load.Running = 0 })
		n.change(4, func(other *node) { other.load.Running = 9 })
		for _, p := range r.Service("s") {
			if p.Status().Node == "n2" {
				for range 5 {
					p.Observe(time.Now(), peer.Failed, time.Millisecond, 100*time.Millisecond)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, choose(t, r).Status.Node != "n2")
		time.Sleep(20 * time.Second)
		n.change(1, func(other *node) { other.load.Running = 9 })
		n.change(3, func(other *node) { other.load.Running = 9 })
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, choose(t, r).Status.Node, "n2")
	})
}

// Guards against traffic between zones that costs more than the latency it saves.
func TestZoneCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2) // n1 is in another zone
		n.change(2, func(other *node) { other.load.Running = 9 })
		time.Sleep(50 * time.Millisecond)
		large := peer.Criteria{Service: "s", ServiceTime: 100 * time.Millisecond, Bytes: 500 << 10}
		chosen, err := r.Choose(context.Background(), large)
		assert.NilError(t, err)
		assert.Equal(t, chosen.Status.Node, "n2")
		time.Sleep(50 * time.Millisecond)
		small := peer.Criteria{Service: "s", ServiceTime: 100 * time.Millisecond, Bytes: 100}
		chosen, err = r.Choose(context.Background(), small)
		assert.NilError(t, err)
		assert.Equal(t, chosen.Status.Node, "n1")
	})
}

// Guards against a cluster in which no node reads the store, or all do.
func TestStoreReaderFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 4) // this node is n5
		go r.Run(t.Context())
		assert.Assert(t, !r.IsStoreReader())
		for i := 1; i <= 3; i++ {
			n.change(i, func(other *node) { other.down = true })
		}
		n.change(4, func(other *node) { other.status.StoreReachable, other.status.Revision = false, 2 })
		time.Sleep(3 * time.Second)
		assert.Assert(t, r.IsStoreReader())
		n.change(4, func(other *node) { other.status.StoreReachable, other.status.Revision = true, 3 })
		time.Sleep(3 * time.Second)
		assert.Assert(t, !r.IsStoreReader())
	})
}

// Guards against a service without candidate nodes that panics or delays requests.
func TestNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := rosterOf(t, 1)
		_, err := r.Choose(context.Background(), peer.Criteria{Service: "other"})
		assert.ErrorIs(t, err, peer.ErrNoUpstream)
		_, err = r.Choose(context.Background(), peer.Criteria{Service: "s", Exclude: func(*peer.Peer) bool { return true }})
		assert.ErrorIs(t, err, peer.ErrNoUpstream)
	})
}

// Guards against a zone in which no node watches the contracts once the first ones are down or cannot reach the store.
func TestRankInZoneFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 4) // n2 and n4 are in the zone of this node, n5
		go r.Run(t.Context())
		assert.Equal(t, r.RankInZone(), 2)
		n.change(2, func(other *node) { other.down = true })
		time.Sleep(3 * time.Second)
		assert.Equal(t, r.RankInZone(), 1)
		n.change(4, func(other *node) { other.status.StoreReachable, other.status.Revision = false, 2 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, r.RankInZone(), 0)
		n.change(2, func(other *node) { other.down = false })
		time.Sleep(3 * time.Second)
		assert.Equal(t, r.RankInZone(), 1)
	})
}

// Guards against a deadlock by locks that requests and arriving answers take in different orders.
func TestConcurrentRequestsAndAnswers(t *testing.T) {
	n := &network{nodes: make(map[netip.AddrPort]*node), introduced: make(map[netip.AddrPort]int), former: make(map[netip.AddrPort]peer.PreviousUpstream)}
	r := peer.NewRoster(peer.Options{
		Zone: "z", Address: address(200), Sender: n, Self: &own{}, Log: slog.New(slog.DiscardHandler),
	})
	n.roster = r
	const nodes = 5
	for i := 1; i <= nodes; i++ {
		r.HandleStatus(address(i), peer.StatusMessage{Status: peer.Status{Node: fmt.Sprintf("n%d", i), Boot: 1, Revision: 1, Service: "s", Slots: 4, Serving: true}})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() {
			for ctx.Err() == nil {
				_, _ = r.Choose(ctx, peer.Criteria{Service: "s", ServiceTime: time.Millisecond})
			}
		})
		done.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				r.HandleLoad(address(1+(i+j)%nodes), 0, peer.Load{Boot: 1, Revision: 1, Serving: true, Limit: 4, ServiceTimePercent: 100})
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock between requests and answers")
	}
}

// Guards against a restarted node that is not told its previous upstream, and against one that is still told after it has
// a new one.
func TestRestartedNodeIsToldItsPreviousUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		assert.Equal(t, n.former[address(1)], peer.PreviousUpstream{})
		started := peer.Status{Node: "n1", Boot: 77, Address: "10.0.0.1:80", Zone: "z1"}
		r.HandleStatus(address(1), peer.StatusMessage{Status: started, ReplyRequested: true})
		assert.Equal(t, n.former[address(1)], peer.PreviousUpstream{Upstream: "u1", Service: "s"})
		started.Revision, started.Upstream, started.Service = 1, "u9", "other"
		r.HandleStatus(address(1), peer.StatusMessage{Status: started, ReplyRequested: true})
		assert.Equal(t, n.former[address(1)], peer.PreviousUpstream{})
	})
}

// Guards against a cluster in which all nodes keep trying during an outage of the store, and against one in which nobody
// learns that it has ended.
func TestRankInZoneDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := rosterOf(t, 4) // n2 and n4 are in the zone of this node, n5
		reached := 0
		self := &own{status: peer.Status{Node: "n5", Boot: 99, Zone: "z0"}}
		r := peer.NewRoster(peer.Options{
			Zone: "z0", Address: address(200), Sender: n, Self: self, OnStoreReachable: func() { reached++ }, Log: slog.New(slog.DiscardHandler),
		})
		report := func(follows bool, revision uint32) {
			for i := 1; i <= 4; i++ {
				status := n.nodes[address(i)].status
				status.StoreReachable, status.Revision = follows, revision
				r.HandleStatus(address(i), peer.StatusMessage{Status: status})
			}
		}
		report(false, 2)
		assert.Equal(t, r.RankInZone(), 2, "no node can reach the store: the first by name keep trying")
		assert.Equal(t, reached, 0)
		self.status.Node = "n1"
		assert.Equal(t, r.RankInZone(), 0)
		report(true, 3)
		assert.Equal(t, r.RankInZone(), 2, "nodes that can reach the store rank first")
		assert.Equal(t, reached, 4)
		report(true, 4)
		assert.Equal(t, reached, 4)
	})
}
