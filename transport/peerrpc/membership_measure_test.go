package peerrpc_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/standin/traffic"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// loopbackNode is a membership with its own listener on loopback and its own messenger, whose traffic is counted.
type loopbackNode struct {
	*datacentre.Membership
	fleet   *instance.Fleet
	traffic traffic.Counter
	server  *http.Server
	client  *peerrpc.MembershipMessenger
	ctx     context.Context
	stop    context.CancelFunc
	done    chan struct{}
}

func newLoopbackNode(tb testing.TB, id, centre string, seeds ...string) *loopbackNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	n := &loopbackNode{fleet: instance.NewFleet(), done: make(chan struct{})}
	n.client = peerrpc.NewMembershipMessenger(n.traffic.Dial)
	n.Membership = datacentre.New(datacentre.Config{
		Self: instance.Record{
			ID: instance.ID(id), Incarnation: uint64(time.Now().UnixNano()), DataCentre: centre, Region: "nl-midden",
			PeerAddr: listener.Addr().String(), CallerAddr: listener.Addr().String(),
			Service: "catalogue", State: instance.Ready, Slots: 12,
		},
		Fleet: n.fleet, Messenger: n.client, Seeds: seeds, BundleVersion: func() uint64 { return 8300 },
	})
	mux := http.NewServeMux()
	mux.Handle(peerrpc.NewMembershipHandler(n.Membership))
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(n.traffic.Listener(listener)) }()
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

func (n *loopbackNode) run() {
	go func() {
		defer close(n.done)
		_ = n.Run(n.ctx)
	}()
}

func (n *loopbackNode) close() {
	n.stop()
	<-n.done
	_ = n.server.Close()
	n.client.Close()
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measures bytes on the wire and CPU time of one exchange, both ends together.
func BenchmarkMembershipMessage(b *testing.B) {
	ctx := context.Background()
	from, to := newLoopbackNode(b, "dc-kigali-1-node-017", "kigali-1"), newLoopbackNode(b, "dc-kigali-1-node-018", "kigali-1")
	from.fleet.Merge(to.Self())
	to.fleet.Merge(from.Self())
	to.MarkSynced()
	addr := to.Self().PeerAddr
	sender := datacentre.Sender{ID: from.Self().ID, Incarnation: from.Self().Incarnation, StateVersion: 3, BundleVersion: 8300}
	records := make([]instance.Record, 40)
	for i := range records {
		records[i] = from.Self()
		records[i].ID += instance.ID(fmt.Sprint(i))
	}
	for name, send := range map[string]func() error{
		"Ping": func() error {
			_, err := from.client.Ping(ctx, addr, datacentre.PingRequest{Sender: sender})
			return err
		},
		"Sync": func() error {
			_, err := from.client.Sync(ctx, addr, datacentre.SyncRequest{Sender: sender, Root: 7})
			return err
		},
		"Push=1": func() error {
			_, err := from.client.Push(ctx, addr, datacentre.PushRequest{Sender: sender, Records: records[:1]})
			return err
		},
		"Push=40": func() error {
			_, err := from.client.Push(ctx, addr, datacentre.PushRequest{Sender: sender, Records: records})
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			assert.NilError(b, send())
			before, used := from.traffic.Total(), cpuTime()
			for b.Loop() {
				assert.NilError(b, send())
			}
			b.ReportMetric(float64(from.traffic.Total()-before)/float64(b.N), "wirebytes/op")
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
	for _, n := range []*loopbackNode{from, to} {
		n.run()
		n.close()
	}
}

// Measures the traffic and the CPU time of idle nodes, both directions together, one second per iteration. Afterwards it
// measures the bytes that one state change and one release cost.
func BenchmarkMembershipNode(b *testing.B) {
	for _, size := range []struct{ members, others int }{{64, 0}, {188, 0}, {400, 0}, {188, 16}} {
		b.Run(fmt.Sprintf("members=%d/othercentres=%d", size.members, size.others), func(b *testing.B) {
			nodes := startLoopbackFleet(b, size.members, size.others)
			before, used := trafficTotals(nodes), cpuTime()
			start := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			elapsed := time.Since(start).Seconds()
			idle := trafficTotals(nodes)
			cpu := (cpuTime() - used).Seconds() / elapsed / float64(len(nodes))
			reportRates(b, nodes[:size.members], before, idle, elapsed)
			b.ReportMetric(100*cpu, "cpu-%/node")

			nodes[1].Announce("catalogue", instance.Draining, 12)
			time.Sleep(time.Second)
			after := trafficTotals(nodes)
			perSecond := sumDifferences(before, idle, size.members) / elapsed
			b.ReportMetric((sumDifferences(idle, after, size.members)-perSecond)/float64(size.members), "change-B/node")
			measureRelease(b, nodes, size.members, perSecond/float64(size.members))
			var closing sync.WaitGroup
			for _, n := range nodes {
				closing.Go(n.close)
			}
			closing.Wait()
		})
	}
}

// measureRelease reports the bytes of a broadcast of 1 KB that all border nodes send, as they do after they read a release
// from the store. perSecond is the idle traffic per node, which is subtracted.
func measureRelease(b *testing.B, nodes []*loopbackNode, members int, perSecond float64) {
	before := trafficTotals(nodes)
	for _, n := range nodes {
		if n.IsBorderNode() {
			assert.Check(b, n.Broadcast("release", "8301", make([]byte, 1024)))
		}
	}
	time.Sleep(time.Second)
	after := trafficTotals(nodes)
	b.ReportMetric(sumDifferences(before, after, members)/float64(members)-perSecond, "release-B/node")
	var border float64
	for i, n := range nodes[:members] {
		if n.IsBorderNode() {
			border = max(border, float64(after[i]-before[i])-perSecond)
		}
	}
	b.ReportMetric(border, "release-B/border")
}

func startLoopbackFleet(b *testing.B, members, others int) []*loopbackNode {
	var nodes []*loopbackNode
	for i := range members {
		nodes = append(nodes, newLoopbackNode(b, fmt.Sprintf("kigali-1-node-%03d", i), "kigali-1"))
	}
	for centre := range others {
		for i := range 3 {
			name := fmt.Sprintf("nl-midden-%d", centre)
			nodes = append(nodes, newLoopbackNode(b, fmt.Sprintf("%s-node-%03d", name, i), name))
		}
	}
	for _, n := range nodes {
		for _, other := range nodes {
			n.fleet.Merge(other.Self())
		}
		n.MarkSynced()
	}
	for _, n := range nodes {
		n.run()
	}
	time.Sleep(20 * time.Second) // until each node has connections to all its fingers
	return nodes
}

func trafficTotals(nodes []*loopbackNode) []int64 {
	counts := make([]int64, len(nodes))
	for i, n := range nodes {
		counts[i] = n.traffic.Total()
	}
	return counts
}

func sumDifferences(from, to []int64, count int) float64 {
	var total int64
	for i := range count {
		total += to[i] - from[i]
	}
	return float64(total)
}

func reportRates(b *testing.B, nodes []*loopbackNode, before, after []int64, elapsed float64) {
	var ordinary, border []float64
	for i, n := range nodes {
		rate := float64(after[i]-before[i]) / elapsed
		if n.IsBorderNode() {
			border = append(border, rate)
			continue
		}
		ordinary = append(ordinary, rate)
	}
	b.ReportMetric(sumDifferences(before, after, len(nodes))/elapsed/float64(len(nodes)), "B/s/node")
	b.ReportMetric(slices.Max(ordinary), "B/s/most")
	b.ReportMetric(slices.Max(border), "B/s/border")
}

// Measures the heap per record of the membership table for several numbers of records.
func BenchmarkMembershipMemory(b *testing.B) {
	for _, members := range []int{320, 3200, 12800} {
		b.Run(fmt.Sprintf("records=%d", members), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				n := newLoopbackNode(b, "self", "kigali-1")
				for i := range members {
					r := n.Self()
					r.ID = instance.ID(fmt.Sprintf("centre-%02d-node-%05d", i%17, i))
					r.DataCentre, r.Region = fmt.Sprintf("centre-%02d", i%17), fmt.Sprintf("region-%d", i%7)
					r.PeerAddr = fmt.Sprintf("10.%d.%d.%d:7000", i%17, i/250, i%250)
					r.CallerAddr, r.Service = fmt.Sprintf("10.%d.%d.%d:80", i%17, i/250, i%250), fmt.Sprintf("service-%d", i%370)
					n.fleet.Merge(r)
				}
				for centre := range 17 {
					n.DataCentre(fmt.Sprintf("centre-%02d", centre)).Ring()
				}
				for service := range 370 {
					n.fleet.Service(fmt.Sprintf("service-%d", service))
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(members), "B/record")
				n.run()
				n.close()
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
