package peer_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// querySender records the sequence numbers of load queries; nothing is answered by itself.
type querySender struct{ sequences []uint32 }

func (s *querySender) QueryLoad(_ netip.AddrPort, sequence uint32) {
	s.sequences = append(s.sequences, sequence)
}

func (s *querySender) Probe(to netip.AddrPort, sequence uint32)            { s.QueryLoad(to, sequence) }
func (s *querySender) SendStatus(netip.AddrPort, peer.StatusMessage)       {}
func (s *querySender) SendDeparture(netip.AddrPort, peer.DepartureMessage) {}
func (s *querySender) SendRateLimit(netip.AddrPort, peer.RateLimitMessage) {}

func lateRoster() (*querySender, *peer.Roster) {
	sender := &querySender{}
	return sender, peer.NewRoster(peer.Options{
		Zone: "z", Address: address(200), Routing: peer.Routing{FreshFor: 20 * time.Millisecond}, Sender: sender,
		Self: &own{status: peer.Status{Node: "n9", Boot: 99, Zone: "z"}}, Log: slog.New(slog.DiscardHandler),
	})
}

// serving returns the status of a run of the node n1.
func serving(boot uint64, upstream string) peer.StatusMessage {
	return peer.StatusMessage{Status: peer.Status{
		Node: "n1", Boot: boot, Revision: 3, Address: "10.0.0.1:80", Zone: "z", Service: "s", Upstream: upstream, Slots: 10, Serving: true,
	}}
}

// currentBoot returns the boot of the only node of the service.
func currentBoot(t *testing.T, r *peer.Roster) uint64 {
	t.Helper()
	known := r.Service("s")
	assert.Equal(t, len(known), 1)
	return known[0].Status().Boot
}

// Guards against a node that is known by the status of an earlier run again, because that message was overtaken by those of the
// present run.
func TestLateStatusOfAnEarlierRunIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := lateRoster()
		r.HandleStatus(address(1), serving(70, "u1"))
		time.Sleep(time.Second)
		r.HandleStatus(address(1), serving(50, "u2"))
		time.Sleep(time.Second)
		r.HandleStatus(address(1), serving(70, "u1"))
		assert.Equal(t, currentBoot(t, r), uint64(50))
		r.HandleStatus(address(1), serving(60, "u3"))
		assert.Equal(t, currentBoot(t, r), uint64(60), "a later restart")
		r.HandleStatus(address(1), serving(50, "u2"))
		assert.Equal(t, currentBoot(t, r), uint64(60))
	})
}

// Guards against a node whose present run is ignored for good, because a late status of an earlier run was the second that was
// heard.
func TestPresentRunIsKnownAgainAfterALateStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const present, earlier = 50, 70
		heardInWrongOrder := func() (*querySender, *peer.Roster) {
			sender, r := lateRoster()
			r.HandleStatus(address(1), serving(present, "u2"))
			r.HandleStatus(address(1), serving(earlier, "u1"))
			return sender, r
		}
		_, r := heardInWrongOrder()
		time.Sleep(10 * time.Second)
		r.HandleStatus(address(1), serving(present, "u2"))
		assert.Equal(t, currentBoot(t, r), uint64(present), "after the longest delay of a message")

		sender, r := heardInWrongOrder()
		choose(t, r)
		r.HandleLoad(address(1), sender.sequences[len(sender.sequences)-1], peer.Load{Boot: present, Revision: 3, Serving: true})
		r.HandleStatus(address(1), serving(present, "u2"))
		assert.Equal(t, currentBoot(t, r), uint64(present), "after it has answered a query")
	})
}

// Guards against a choice by an outdated load: the answer to a query was overtaken by that to a later one, was doubled, or comes
// from before a restart of this node.
func TestLateLoadIsIgnored(t *testing.T) {
	const running, outdated = 7, 2
	for _, c := range []struct {
		name string
		late func(sequences []uint32) uint32
	}{
		{"overtaken", func(sequences []uint32) uint32 { return sequences[0] }},
		{"doubled", func(sequences []uint32) uint32 { return sequences[1] }},
		{"not asked for", func(sequences []uint32) uint32 { return sequences[1] + 1000 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender, r := lateRoster()
				r.HandleStatus(address(1), serving(50, "u1"))
				answer := func(sequence uint32, running int) {
					r.HandleLoad(address(1), sequence, peer.Load{Boot: 50, Revision: 3, Serving: true, Running: running, Limit: 8, ServiceTimePercent: 100})
				}
				choose(t, r)
				choose(t, r)
				assert.Equal(t, len(sender.sequences), 2)
				answer(sender.sequences[1], running)
				answer(c.late(sender.sequences), outdated)
				assert.Equal(t, choose(t, r).Load.Running, running)

				time.Sleep(time.Second)
				choose(t, r)
				answer(sender.sequences[2], running+1)
				assert.Equal(t, choose(t, r).Load.Running, running+1)
			})
		})
	}
}
