package sidecar_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/transport/datagram"
)

// fakePeer answers the datagrams of other nodes until its socket is closed, and serves nothing else.
type fakePeer struct {
	socket     *datagram.Socket
	status     peer.Status
	onSuspects atomic.Pointer[chan []quarantine.Record] // gets the records that other nodes send; nil for none
}

// startFakePeer starts a peer of the zone "z" that has the version of the contracts and reaches the store.
func startFakePeer(t *testing.T, name string, version uint64) *fakePeer {
	t.Helper()
	socket, err := datagram.Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	socket.Version = func() uint64 { return version }
	socket.OnVersion = func(uint64, netip.AddrPort) {}
	socket.OnNotice = func(quarantine.Notice) {}
	socket.OnStoreEra = func(store.Era, netip.AddrPort) {}
	p := &fakePeer{socket: socket, status: peer.Status{Node: name, Boot: 1, Revision: 1, Address: "127.0.0.1:1", Zone: "z", StoreReachable: true}}
	socket.OnSuspects = func(records []quarantine.Record) {
		if received := p.onSuspects.Load(); received != nil {
			*received <- records
		}
	}
	go func() { _ = socket.Serve(t.Context(), p) }() // returns when the socket is closed
	t.Cleanup(func() { _ = socket.Close() })
	return p
}

// AddNode implements datagram.Receiver.
func (p *fakePeer) AddNode(netip.AddrPort) {}

// HandleStatus implements datagram.Receiver.
func (p *fakePeer) HandleStatus(from netip.AddrPort, m peer.StatusMessage) {
	if m.ReplyRequested {
		p.socket.SendStatus(from, peer.StatusMessage{Status: p.status})
	}
}

// HandleDeparture implements datagram.Receiver.
func (p *fakePeer) HandleDeparture(netip.AddrPort, peer.DepartureMessage) {}

// HandleRateLimit implements datagram.Receiver.
func (p *fakePeer) HandleRateLimit(netip.AddrPort, peer.RateLimitMessage) {}

// HandleLoad implements datagram.Receiver.
func (p *fakePeer) HandleLoad(netip.AddrPort, uint32, peer.Load) {}

// AnswerLoadQuery implements datagram.Receiver.
func (p *fakePeer) AnswerLoadQuery(netip.AddrPort) peer.Load { return peer.Load{Boot: 1, Revision: 1} }

// AnswerProbe implements datagram.Receiver.
func (p *fakePeer) AnswerProbe(from netip.AddrPort) peer.Load { return p.AnswerLoadQuery(from) }

// Guards against a node that keeps old contracts although it reaches the store, because it is cut off from all other nodes of
// a large zone and takes seconds to find out that each of them is unresponsive.
func TestNodeCutOffFromItsPeersReadsTheStore(t *testing.T) {
	s := kvstore.NewMemory()
	publish(t, s, document{Version: 1, Service: "s"})
	m := startMachine(t, "n1", s)
	eventually(t, "version 1", 5*time.Second, func() bool { return m.log.contains(versionText(1)) })
	const peers = 30
	cutOff := make([]*fakePeer, peers)
	for i := range cutOff {
		cutOff[i] = startFakePeer(t, fmt.Sprintf("a%02d", i), 1)
		m.AddPeer(cutOff[i].socket.Addr())
	}
	time.Sleep(2 * time.Second) // until the node has stopped watching the store, because others do
	for _, p := range cutOff {
		assert.NilError(t, p.socket.Close())
	}
	publishUntilIn(t, s, 2, m, convergence)
}
