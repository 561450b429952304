package sidecar_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a rolling restart after which no node refuses a request that crashes upstreams: a node that has started is sent
// what the others know, and takes it over.
func TestSuspectsAreSentToANodeThatHasStarted(t *testing.T) {
	m := startMachine(t, "m1", kvstore.NewMemory())
	known := startFakePeer(t, "known", 1)
	for crash := range 2 {
		known.socket.SendNotice(addressesOf(m), quarantine.Notice{
			Kind: quarantine.Crashed, Fingerprints: []quarantine.Fingerprint{7}, Crashes: []quarantine.Crash{quarantine.Crash(crash)},
		})
	}
	started := startFakePeer(t, "started", 1)
	received := make(chan []quarantine.Record, 9)
	started.onSuspects.Store(&received)
	started.socket.SendStatus(m.DatagramAddr(), peer.StatusMessage{Status: started.status})
	select {
	case records := <-received:
		assert.Equal(t, len(records), 1)
		assert.Equal(t, records[0].Fingerprint, quarantine.Fingerprint(7))
		assert.Assert(t, records[0].Quarantined)
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was sent")
	}

	other := startMachine(t, "m2", kvstore.NewMemory())
	known.socket.SendSuspects(other.DatagramAddr(), []quarantine.Record{{
		Fingerprint: 7, Quarantined: true, Remaining: time.Minute, Crashes: []quarantine.RecordedCrash{{Crash: 1}, {Crash: 2}},
	}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if other.log.contains("quarantine learned from another node") {
			return poll.Success()
		}
		return poll.Continue("not learned")
	}, poll.WithTimeout(5*time.Second))
}

func addressesOf(m *machine) []netip.AddrPort { return []netip.AddrPort{m.DatagramAddr()} }
