package peerrpc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// wireNode is a node's Distributor with real adapters; its broadcasts go to one other node.
type wireNode struct {
	*bundle.Distributor
	addr string
	next *wireNode
	ask  []string
}

func (n *wireNode) Sample(int) []string { return n.ask }

func (n *wireNode) Broadcast(_, _ string, payload []byte) error {
	if n.next != nil {
		n.next.HandleBroadcast(payload)
	}
	return nil
}

func startWireNode(t *testing.T, storeURL string, trust bundle.TrustedKeys, watching bool, ask ...string) *wireNode {
	t.Helper()
	adapter := kvhttp.NewClient(storeURL, 0)
	n := &wireNode{ask: ask}
	n.Distributor = bundle.NewDistributor(bundle.Config{
		TrustedKeys: trust, Current: bundle.NewCurrent(), Store: store.NewClient(adapter, 0, 0), Broadcast: n,
		WatchRole: bundle.NewWatchRoleSwitch(watching), Peers: n, Client: peerrpc.NewBundleClient(http.DefaultClient),
	})
	mux := http.NewServeMux()
	mux.Handle(peerrpc.NewBundleHandler(n))
	server := httptest.NewServer(mux)
	n.addr = server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		server.Close()
		adapter.Close()
	})
	return n
}

func (n *wireNode) await(t *testing.T, version uint64) {
	t.Helper()
	deadline := time.After(3 * time.Second)
	for {
		changed := n.Current.Changed()
		if held := n.Current.Load(); held != nil && held.Version == version {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("version %d is not in force after 3 s", version)
		}
	}
}

// Guards against adapters that do not fit together: a version goes through the store's protocol to
// the node that watches the store, by broadcast and by the peers' service to others, and reaches a node that starts
// while the store is down.
func TestBundleOverTheWire(t *testing.T) {
	memory := kvstore.NewMemory()
	server := httptest.NewServer(kvstore.NewServer(memory))
	t.Cleanup(func() { memory.BreakWatches(); server.CloseClientConnections(); server.Close() })
	key, err := bundle.GenerateKey(time.Time{})
	assert.NilError(t, err)
	trust := bundle.TrustedKeys{key.Public}
	watchRole := startWireNode(t, server.URL, trust, true)
	other := startWireNode(t, server.URL, trust, false, watchRole.addr)
	watchRole.next = other

	publisher := &bundle.Publisher{Store: store.NewClient(kvhttp.NewClient(server.URL, 0), 1000, 1000), TrustedKeys: trust}
	for version := uint64(1); version <= 3; version++ {
		source, err := os.ReadFile("../../examples/schoonpot.toml")
		assert.NilError(t, err)
		contracts, err := bundle.Parse("schoonpot.toml", source)
		assert.NilError(t, err)
		contracts[0].Classes[0].MaxQueue += int(version)
		prepared, err := bundle.Prepare(contracts, version)
		assert.NilError(t, err)
		approved, err := bundle.Approve(prepared, key, time.Now())
		assert.NilError(t, err)
		_, _, err = publisher.RollOut(t.Context(), approved)
		assert.NilError(t, err)
		watchRole.await(t, version)
		other.await(t, version)
	}
	memory.SetFaults(kvstore.Faults{Down: true})
	late := startWireNode(t, server.URL, trust, true, other.addr)
	late.await(t, 3)
	behind := startWireNode(t, server.URL, trust, false)
	behind.ObserveVersion(3, late.addr)
	behind.await(t, 3)
}
