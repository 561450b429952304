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
