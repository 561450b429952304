package sidecar_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/transport/datagram"
)

// convergence is the time after its acknowledgement within which a version must be in force everywhere.
const convergence = 2 * time.Second

func versionText(version uint64) string { return fmt.Sprintf("version=%d ", version) }

// publishUntilIn publishes a version and waits until it is in force at the node.
func publishUntilIn(t *testing.T, s store.Store, version uint64, m *machine, within time.Duration) {
	t.Helper()
	publish(t, s, document{Version: version, Service: "s"})
	eventually(t, fmt.Sprintf("version %d at %s", version, m.Settings.Node), within, func() bool {
		return m.log.contains("msg=\"contracts adopted\" " + versionText(version))
	})
}

// startFetchingMachine starts three nodes of one zone: the first two watch the store, and the third fetches new versions
// from them through the proxies.
func startFetchingMachine(t *testing.T, s store.Store) (proxies [2]*silentProxy, fetching *machine) {
	t.Helper()
	publish(t, s, document{Version: 1, Service: "s"})
	for i := range proxies {
		proxies[i] = newSilentProxy(t)
		startMachineBehind(t, proxies[i], fmt.Sprintf("n%d", i+1), s)
	}
	fetching = startMachine(t, "n3", s)
	eventually(t, "version 1", 5*time.Second, func() bool { return fetching.log.contains(versionText(1)) })
	time.Sleep(time.Second) // until the nodes have discovered each other
	return proxies, fetching
}

// fetchedFrom reports whether the machine has fetched a version through the proxy.
func fetchedFrom(m *machine, p *silentProxy) bool { return m.log.contains("from=" + p.addr()) }

// Guards against a new version that is late because it is fetched over kept connections that have gone silent. The fetch is
// one of several steps, so it may take half of the time at most. The read from the store after two stalled fetches must not
// hide that they used a kept connection.
func TestSilentConnectionsDoNotDelayAVersion(t *testing.T) {
	s := kvstore.NewMemory()
	proxies, m := startFetchingMachine(t, s)
	version := uint64(1)
	for range 30 {
		version++
		publishUntilIn(t, s, version, m, convergence)
		if fetchedFrom(m, proxies[0]) && fetchedFrom(m, proxies[1]) {
			break
		}
	}
	for _, p := range proxies {
		p.silenceOpen()
	}
	accepted := proxies[0].accepted.Load() + proxies[1].accepted.Load()
	publishUntilIn(t, s, version+1, m, convergence/2)
	assert.Assert(t, proxies[0].accepted.Load()+proxies[1].accepted.Load() > accepted, "no new connection was opened")
}

// Guards against a new version that is late because one of the nodes that report it doesn't answer fetches.
func TestOneSilentNodeDoesNotDelayAVersion(t *testing.T) {
	s := kvstore.NewMemory()
	proxies, m := startFetchingMachine(t, s)
	proxies[0].silenceAll()
	for version := uint64(2); version < 10; version++ {
		publishUntilIn(t, s, version, m, convergence/2)
	}
}

// Guards against a node that keeps old contracts although it reaches the store, because no node that reports the new version
// answers its fetches.
func TestNodeReadsTheStoreWhenNoPeerAnswers(t *testing.T) {
	s := kvstore.NewMemory()
	proxies, m := startFetchingMachine(t, s)
	for _, p := range proxies {
		p.silenceAll()
	}
	publishUntilIn(t, s, 2, m, convergence)
}

// Guards against a sender that is no node and whose messages claim a version that no document holds: each node that it reaches
// would read the store and log a failed fetch several times a second.
func TestVersionOfAnUnknownSenderIsNotFetched(t *testing.T) {
	s := kvstore.NewMemory()
	publish(t, s, document{Version: 1, Service: "s"})
	m := startMachine(t, "n1", s)
	eventually(t, "version 1", 5*time.Second, func() bool { return m.log.contains(versionText(1)) })
	stranger, err := datagram.Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stranger.Close() })
	stranger.Version = func() uint64 { return 1 << 40 }
	for range 15 {
		stranger.QueryLoad(m.DatagramAddr(), 1)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, m.log.count("cannot fetch contracts"), 0)
}
