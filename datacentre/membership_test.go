package datacentre

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

const propagationLimit = 3 * time.Second

func dataCentreNames(count, perRegion int) [][2]string {
	var names [][2]string
	for i := range count {
		names = append(names, [2]string{fmt.Sprintf("dc%d", i), fmt.Sprintf("region%d", i/perRegion)})
	}
	return names
}

// Guards against failures and changes that reach some members late or never.
func TestChangePropagationTime(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		size, dataCentres int
		change            func(n *network, members []*member)
	}{
		"crash in a centre of 188":   {188, 1, func(n *network, m []*member) { n.kill(m[70], false) }},
		"silent loss in 188":         {188, 1, func(n *network, m []*member) { n.kill(m[71], true) }},
		"rack of 40 of 188 lost":     {188, 1, func(n *network, m []*member) { killSilently(n, m[:40]) }},
		"drain in one of 17 centres": {12, 17, func(_ *network, m []*member) { m[5].Announce("catalogue", instance.Draining, 12) }},
		"silent loss in 17 centres":  {12, 17, func(n *network, m []*member) { n.kill(m[6], true) }},
		"border nodes of a centre":   {12, 17, killBorderNodes},
		"change while those are lost": {12, 17, func(n *network, m []*member) {
			killBorderNodes(n, m)
			ring := m[0].local.Ring()
			for _, r := range ring {
				n.members[r.PeerAddr].Announce("catalogue", instance.Draining, 12)
			}
		}},
		"change elsewhere while those are lost": {12, 17, func(n *network, m []*member) {
			killBorderNodes(n, m)
			m[65].Announce("catalogue", instance.Draining, 12)
		}},
		"restart at the same address": {12, 4, restart},
		"graceful leave": {12, 4, func(n *network, m []*member) {
			m[3].Leave(context.Background())
			n.kill(m[3], false)
		}},
		"refutation of a false failure": {12, 4, func(_ *network, m []*member) { m[4].declareFailed(m[9].Self()) }},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(c.size, dataCentreNames(c.dataCentres, 3)...)
				n.agreeWithin(0)
				c.change(n, members)
				t.Logf("known everywhere after %s", n.agreeWithin(propagationLimit))
			})
		})
	}
}

func killSilently(n *network, members []*member) {
	for _, m := range members {
		n.kill(m, true)
	}
}

func killBorderNodes(n *network, members []*member) {
	for _, r := range members[0].local.BorderNodes() {
		n.kill(n.members[r.PeerAddr], true)
	}
}

func restart(n *network, members []*member) {
	n.kill(members[2], false)
	<-members[2].done
	n.seeds = []string{members[20].config.Self.PeerAddr}
	n.start(record("dc0", "region0", 2), nil)
}

// Guards against live members that are declared failed because of network faults, and against tables that
// differ afterwards.
func TestNetworkFaultsCauseNoFalseFailures(t *testing.T) { // not parallel: it reads a counter of the process
	oneWay := func(from, to string) func(a, b *member) bool {
		return func(a, b *member) bool { return string(a.config.Self.ID) == from && string(b.config.Self.ID) == to }
	}
	for name, c := range map[string]struct {
		size, dataCentres int
		fault             func(n *network, m []*member)
	}{
		"a tenth of messages lost":       {60, 1, func(n *network, _ []*member) { n.loss = 0.1 }},
		"messages repeated":              {20, 3, func(n *network, _ []*member) { n.duplicate = 0.3 }},
		"messages delayed and reordered": {20, 3, func(n *network, _ []*member) { n.jitter = 120 * time.Millisecond }},
		"all regions cut from each other": {10, 6, func(n *network, _ []*member) {
			n.blocked = func(a, b *member) bool { return a.config.Self.Region != b.config.Self.Region }
		}},
		"one direction cut between neighbours": {12, 1, func(n *network, m []*member) {
			ring := m[0].local.Ring()
			n.blocked = oneWay(string(ring[3].ID), string(ring[4].ID))
		}},
		"two members, cut, others near": {2, 2, func(n *network, _ []*member) { n.blocked = oneWay("dc0-node-0", "dc0-node-1") }},
		"a slow member": {12, 1, func(n *network, m []*member) {
			n.blocked = func(_, b *member) bool {
				if b == m[5] {
					n.mu.Unlock()
					time.Sleep(150 * time.Millisecond)
					n.mu.Lock()
				}
				return false
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(c.size, dataCentreNames(c.dataCentres, 2)...)
				before := declaredFailed.Get()
				n.mu.Lock()
				c.fault(n, members)
				n.mu.Unlock()
				time.Sleep(20 * time.Second)
				n.mu.Lock()
				n.loss, n.duplicate, n.jitter, n.blocked = 0, 0, 0, func(_, _ *member) bool { return false }
				n.mu.Unlock()
				time.Sleep(5 * time.Second)
				assert.Equal(t, declaredFailed.Get()-before, uint64(0))
				n.agreeWithin(0)
			})
		})
	}
}

// Guards against a member that was cut off or frozen and then declares the others failed, and against a
// live member that stays declared failed.
func TestIsolatedMemberRejoins(t *testing.T) { // not parallel: it reads a counter of the process
	for name, c := range map[string]struct{ isolate, restore func(n *network, m *member) }{
		"cut off": {
			func(n *network, m *member) {
				n.blocked = func(a, b *member) bool { return a == m || b == m }
			},
			func(n *network, _ *member) { n.blocked = func(_, _ *member) bool { return false } },
		},
		"frozen": {
			func(_ *network, m *member) { m.freeze() },
			func(_ *network, m *member) { m.thaw() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(20, dataCentreNames(3, 2)...)
				before := declaredFailed.Get()
				n.mu.Lock()
				c.isolate(n, members[7])
				n.mu.Unlock()
				time.Sleep(20 * time.Second)
				assert.Equal(t, declaredFailed.Get()-before, uint64(1), "only the isolated member is declared failed, by its predecessor")
				n.mu.Lock()
				c.restore(n, members[7])
				n.mu.Unlock()
				t.Logf("back after %s", n.agreeWithin(10*time.Second))
				assert.Equal(t, declaredFailed.Get()-before, uint64(1))
			})
		})
	}
}

// Guards against two halves of a data centre that declared each other failed and stay separate after the
// partition ends.
func TestSplitDataCentreMerges(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		members := n.fill(12, dataCentreNames(1, 1)...)
		half := make(map[*member]bool)
		for _, m := range members[:6] {
			half[m] = true
		}
		n.mu.Lock()
		n.blocked = func(a, b *member) bool { return half[a] != half[b] }
		n.mu.Unlock()
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(members[0].fleet.DataCentre("dc0")), 6)
		n.mu.Lock()
		n.blocked = func(_, _ *member) bool { return false }
		n.mu.Unlock()
		t.Logf("together after %s", n.agreeWithin(20*time.Second))
	})
}

// Guards against a member that was frozen for longer than the others keep records of gone members, and
// that then returns a gone member to their tables.
func TestLongFrozenMemberDoesNotRestoreGoneMembers(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		members := n.fill(5, dataCentreNames(1, 1)...)
		n.mu.Lock()
		members[0].freeze()
		n.mu.Unlock()
		lost := members[0].local.Successors(members[0].config.Self.ID, 2)[1] // not checked by the frozen one
		time.Sleep(5 * time.Second)                                          // the others no longer send to the frozen one
		n.kill(n.members[lost.PeerAddr], true)
		time.Sleep(instance.GoneRetention + 5*time.Minute)
		n.mu.Lock()
		members[0].thaw()
		n.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, m := range n.live() {
				held, found := m.fleet.Get(lost.ID)
				assert.Assert(t, m == members[0] || !found || held.State.Gone())
			}
		}
		n.agreeWithin(0)
	})
}

// Guards against the early removal of the members of an unreachable data centre, against members that are
// never removed, and against a data centre whose members are all declared failed by the others.
func TestUnreachableDataCentreRetention(t *testing.T) { // not parallel: it reads a counter of the process
	for name, c := range map[string]struct {
		isolate, restore func(n *network, lost []*member)
	}{
		"cut off": {
			func(n *network, _ []*member) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.blocked = func(a, b *member) bool { return (a.local.Name == "dc0") != (b.local.Name == "dc0") }
			},
			func(n *network, _ []*member) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.blocked = func(_, _ *member) bool { return false }
			},
		},
		"lost": {
			killSilently,
			func(n *network, lost []*member) {
				n.seeds = []string{"dc1-node-0:7000"}
				for _, m := range lost {
					n.start(m.config.Self, nil)
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(3, dataCentreNames(3, 1)...)
				before := declaredFailed.Get()
				c.isolate(n, members[:3])
				held := func() int { return len(members[8].fleet.DataCentre("dc0")) }
				time.Sleep(59 * time.Minute)
				assert.Equal(t, held(), 3)
				time.Sleep(2 * time.Minute)
				assert.Equal(t, held(), 0)
				assert.Equal(t, declaredFailed.Get()-before, uint64(0))
				c.restore(n, members[:3])
				t.Logf("back after %s", n.agreeWithin(30*time.Second))
			})
		})
	}
}

// Guards against members that do not find each other, with and without the store, and against effects of
// a store outage.
func TestMembersJoinByContactsAndSeeds(t *testing.T) {
	t.Parallel()
	for name, seeds := range map[string][]string{"contacts": nil, "seeds, store down": {"dc0-node-0:7000"}} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				kv := kvstore.NewMemory()
				n.store, n.seeds = kv, seeds
				kv.SetFaults(kvstore.Faults{Down: seeds != nil})
				for i := range 10 {
					n.start(record("dc0", "region0", i), nil)
					n.start(record("dc1", "region1", i), nil)
				}
				t.Logf("joined after %s", n.agreeWithin(40*time.Second))
				time.Sleep(20 * time.Second)
				kv.SetFaults(kvstore.Faults{Down: true})
				time.Sleep(time.Minute)
				n.kill(n.members["dc1-node-3:7000"], true)
				n.agreeWithin(propagationLimit)
				kv.SetFaults(kvstore.Faults{})
				time.Sleep(time.Minute)
				contacts, err := kv.List(context.Background(), contactPrefix)
				assert.NilError(t, err)
				assert.Equal(t, len(contacts), 4, "two border nodes of each data centre")
			})
		})
	}
}

// Guards against broadcasts that miss members, that are handled twice, or that are accepted although too
// large.
func TestBroadcastReachesEachMemberOnce(t *testing.T) {
	t.Parallel()
	for _, size := range []int{10, MaxPayload} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(20, dataCentreNames(4, 2)...)
				n.mu.Lock()
				n.duplicate, n.loss = 0.2, 0.05
				n.mu.Unlock()
				got := make([]int, len(members))
				for i, m := range members {
					m.Handle("release", func(from instance.ID, payload []byte) {
						n.mu.Lock()
						defer n.mu.Unlock()
						assert.Check(t, from == members[3].config.Self.ID && len(payload) == size)
						got[i]++
					})
				}
				assert.NilError(t, members[3].Broadcast("release", "1", make([]byte, size)))
				time.Sleep(propagationLimit)
				n.mu.Lock()
				defer n.mu.Unlock()
				for i := range members {
					want := 1
					if i == 3 {
						want = 0
					}
					assert.Equal(t, got[i], want, "member %d", i)
				}
				assert.Assert(t, members[3].Broadcast("release", "2", make([]byte, MaxPayload+1)) != nil)
			})
		})
	}
}
