package entry_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// discardSender drops all datagrams.
type discardSender struct{}

func (discardSender) QueryLoad(netip.AddrPort, uint32)                    {}
func (discardSender) Probe(netip.AddrPort, uint32)                        {}
func (discardSender) SendStatus(netip.AddrPort, peer.StatusMessage)       {}
func (discardSender) SendDeparture(netip.AddrPort, peer.DepartureMessage) {}
func (discardSender) SendRateLimit(netip.AddrPort, peer.RateLimitMessage) {}

// idleNode is a node without an upstream.
type idleNode struct{}

func (idleNode) Status() peer.Status                         { return peer.Status{} }
func (idleNode) Load(time.Time) peer.Load                    { return peer.Load{} }
func (idleNode) LearnPreviousUpstream(peer.PreviousUpstream) {}
func (idleNode) Departure() peer.Departure                   { return peer.Departure{} }
func (idleNode) LearnDeparture(peer.Departure)               {}
func (idleNode) RateLimit(time.Time) peer.RateLimit          { return peer.RateLimit{} }
func (n idleNode) LastLoad(now time.Time) peer.Load          { return n.Load(now) }
func (idleNode) LearnRateLimit(peer.RateLimit)               {}

// rosterOf returns a Roster of nodes that all serve the service "s" and answer no load queries.
func rosterOf(nodes int) *peer.Roster { return rosterWith(discardSender{}, nodes, 4) }

// rosterWith returns a Roster of nodes that all serve the service "s", each with the given number of slots.
func rosterWith(sender peer.Sender, nodes, slots int) *peer.Roster {
	r := peer.NewRoster(peer.Options{
		Zone: "z", Address: netip.MustParseAddrPort("10.0.0.200:7000"), Sender: sender, Self: idleNode{}, Log: slog.New(slog.DiscardHandler),
	})
	for i := range nodes {
		r.HandleStatus(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000), peer.StatusMessage{Status: peer.Status{
			Node: fmt.Sprintf("n%d", i), Boot: uint64(i + 1), Revision: 1, Service: "s", Upstream: fmt.Sprintf("u%d", i), Slots: slots, Serving: true,
		}})
	}
	return r
}
