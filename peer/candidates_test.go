package peer_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// idleNodes is a Sender to nodes that answer at once that they are idle.
type idleNodes struct{ roster *peer.Roster }

func (n *idleNodes) QueryLoad(to netip.AddrPort, sequence uint32) {
	n.roster.HandleLoad(to, sequence, peer.Load{Boot: 1, Revision: 1, Serving: true, Limit: 8, ServiceTimePercent: 100})
}

func (n *idleNodes) Probe(to netip.AddrPort, sequence uint32)          { n.QueryLoad(to, sequence) }
func (*idleNodes) SendStatus(netip.AddrPort, peer.StatusMessage)       {}
func (*idleNodes) SendDeparture(netip.AddrPort, peer.DepartureMessage) {}
func (*idleNodes) SendRateLimit(netip.AddrPort, peer.RateLimitMessage) {}

// serviceOf returns a roster that knows count nodes of the service "s", spread over the zones. A load is known for an hour.
func serviceOf(tb testing.TB, count, zones int) (*peer.Roster, []netip.AddrPort) {
	tb.Helper()
	sender := &idleNodes{}
	r := peer.NewRoster(peer.Options{
		Zone: "z0", Address: address(0), Routing: peer.Routing{FreshFor: time.Hour}, Sender: sender,
		Self: &own{status: peer.Status{Node: "own", Boot: 1, Zone: "z0"}}, Log: slog.New(slog.DiscardHandler),
	})
	sender.roster = r
	nodes := make([]netip.AddrPort, count)
	for i := range nodes {
		nodes[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(1 + i%250)}), 7620)
		announce(r, nodes[i], i, zones, 1)
	}
	return r, nodes
}

// announce lets the roster hear of the status of a node. The nodes serve in revision 1 only.
func announce(r *peer.Roster, addr netip.AddrPort, i, zones int, revision uint32) {
	r.HandleStatus(addr, peer.StatusMessage{Status: peer.Status{
		Node: fmt.Sprintf("n%03d", i), Boot: 1, Revision: revision, Zone: fmt.Sprintf("z%d", i%zones), Service: "s",
		Upstream: fmt.Sprintf("u%03d", i), Serving: revision == 1, Slots: 8,
	}})
}

// Guards against a choice that prefers some nodes of a large service.
func TestChoiceIsSpreadOverALargeService(t *testing.T) {
	const (
		count = 200
		draws = 40 * count
	)
	r, _ := serviceOf(t, count, 1)
	chosen := make(map[string]int)
	for range draws {
		c, err := r.Choose(t.Context(), peer.Criteria{Service: "s", ServiceTime: 100 * time.Millisecond})
		assert.NilError(t, err)
		chosen[c.Status.Node]++ // and counts as load of the node
	}
	assert.Equal(t, len(chosen), count, "some nodes are never chosen")
	for node, n := range chosen {
		assert.Assert(t, n > draws/count/2 && n < draws/count*2, "%s was chosen %d times, expected about %d", node, n, draws/count)
	}
}

// Guards against a request that finds no upstream although one of many accepts work.
func TestOneServingNodeOfManyIsFound(t *testing.T) {
	r, nodes := serviceOf(t, 800, 4)
	for i, addr := range nodes {
		if i != 321 {
			announce(r, addr, i, 4, 2)
		}
	}
	for range 100 {
		c, err := r.Choose(t.Context(), peer.Criteria{Service: "s"})
		assert.NilError(t, err)
		assert.Equal(t, c.Status.Node, "n321")
	}
}

// Guards against a node that stays among the candidates of its former zone when another node takes over its address.
func TestNodeOfAnotherZoneAtTheSameAddress(t *testing.T) {
	r, nodes := serviceOf(t, 1, 1)
	r.HandleStatus(nodes[0], peer.StatusMessage{Status: peer.Status{Node: "other", Boot: 2, Zone: "z9", Service: "s", Upstream: "u", Serving: true, Slots: 8}})
	c, err := r.Choose(t.Context(), peer.Criteria{Service: "s"})
	assert.NilError(t, err)
	assert.Equal(t, c.Status.Node, "other")
	assert.Equal(t, len(r.Service("s")), 1)
}

// BenchmarkChoose is the choice of a node for one request in services of growing size.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{8, 80, 800} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, _ := serviceOf(b, count, 5)
			ctx := b.Context()
			b.ReportAllocs()
			for b.Loop() {
				c, err := r.Choose(ctx, peer.Criteria{Service: "s"})
				if err != nil {
					b.Fatal(err)
				}
				c.CancelPlacement()
			}
		})
	}
}
