package peer_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// recorder is a Sender that records what is sent where.
type recorder struct {
	mu       sync.Mutex
	queried  map[netip.AddrPort]int
	statuses map[netip.AddrPort][]peer.StatusMessage
}

func (r *recorder) QueryLoad(to netip.AddrPort, _ uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queried[to]++
}

func (r *recorder) Probe(to netip.AddrPort, sequence uint32)            { r.QueryLoad(to, sequence) }
func (r *recorder) SendDeparture(netip.AddrPort, peer.DepartureMessage) {}
func (r *recorder) SendRateLimit(netip.AddrPort, peer.RateLimitMessage) {}

func (r *recorder) SendStatus(to netip.AddrPort, i peer.StatusMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[to] = append(r.statuses[to], i)
}

var ownStatus = peer.Status{Node: "n0", Boot: 99, Revision: 1, Zone: "z0", Address: "10.0.0.200:80", Service: "s", Upstream: "u0", Slots: 4, Serving: true}

func newRecorded() (*recorder, *peer.Roster) {
	r := &recorder{queried: make(map[netip.AddrPort]int), statuses: make(map[netip.AddrPort][]peer.StatusMessage)}
	return r, peer.NewRoster(peer.Options{
		Zone: "z0", Address: address(200), Routing: peer.Routing{FreshFor: 20 * time.Millisecond}, Sender: r,
		Self: &own{status: ownStatus}, Log: slog.New(slog.DiscardHandler),
	})
}

// oddAddresses are addresses at which no node can be reached.
var oddAddresses = []netip.AddrPort{
	{}, netip.MustParseAddrPort("10.0.0.1:0"), netip.MustParseAddrPort("0.0.0.0:7000"), netip.MustParseAddrPort("224.0.0.1:7000"),
	netip.MustParseAddrPort("255.255.255.255:7000"), netip.MustParseAddrPort("[::]:7000"), netip.MustParseAddrPort("[::1]:7000"),
	netip.MustParseAddrPort("[2001:db8::1]:7000"), netip.MustParseAddrPort("[fe80::1%eth0]:7000"), netip.MustParseAddrPort("[::ffff:0.0.0.0]:7000"),
}

// Guards against addresses of another writer that are taken for nodes: they get messages as long as the entry stays, reduce
// each node's share of the retry budget, and 0.0.0.0 leads back to the node itself.
func TestOddAddressesAreNotAdded(t *testing.T) {
	sent, r := newRecorded()
	for _, addr := range oddAddresses {
		r.AddNode(addr)
	}
	assert.Equal(t, r.Len(), 1)
	r.HandleStatus(address(1), peer.StatusMessage{Status: peer.Status{Node: "n1", Boot: 1, Address: "10.0.0.1:80"}, Addresses: oddAddresses})
	assert.Equal(t, r.Len(), 2)
	assert.Equal(t, len(sent.statuses), 1, "%v", sent.statuses)
	r.AddNode(netip.MustParseAddrPort("[::ffff:10.0.0.1]:7000"))
	assert.Equal(t, r.Len(), 2, "the same address in another form is another node")
}

// Guards against a node that takes itself for another one, which it then prefers twice as often, when an entry names its
// own socket by another address.
func TestOwnStatusFromAnotherAddressIsIgnored(t *testing.T) {
	_, r := newRecorded()
	r.UpdateOwnStatus()
	r.HandleStatus(netip.MustParseAddrPort("127.0.0.1:7000"), peer.StatusMessage{Status: ownStatus})
	assert.Equal(t, len(r.Service("s")), 1)
}

// Guards against an address that no node answers at, which nodes pass on to each other for ever.
func TestUnheardAddressesAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, r := newRecorded()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		silent := address(9)
		r.AddNode(silent)
		for range 10 {
			r.HandleStatus(address(1), peer.StatusMessage{Status: peer.Status{Node: "n1", Boot: 1, Address: "10.0.0.1:80"}, ReplyRequested: true})
			r.HandleStatus(address(2), peer.StatusMessage{Status: peer.Status{Node: "n2", Boot: 2, Address: "10.0.0.2:80"}, ReplyRequested: true})
			time.Sleep(time.Second)
			synctest.Wait()
		}
		sent.mu.Lock()
		defer sent.mu.Unlock()
		passedOn := make(map[netip.AddrPort]bool)
		for _, to := range []netip.AddrPort{address(1), address(2)} {
			for _, i := range sent.statuses[to] {
				for _, addr := range i.Addresses {
					passedOn[addr] = true
				}
			}
		}
		assert.Check(t, !passedOn[silent])
		assert.Check(t, passedOn[address(1)] && passedOn[address(2)], "%v", passedOn)
		assert.Check(t, len(sent.statuses[silent]) > 1, "the silent address is no longer tried")
	})
}
