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

// distributorNode is a Distributor with the adapters that a node uses. Its broadcasts go to one other node.
type distributorNode struct {
	*bundle.Distributor
	addr  string
	next  *distributorNode
	peers []string
}

func (n *distributorNode) Sample(int) []string { return n.peers }

func (n *distributorNode) Broadcast(_, _ string, payload []byte) error {
	if n.next != nil {
		n.next.HandleBroadcast(payload)
	}
	return nil
}

func startDistributorNode(t *testing.T, storeURL string, trust bundle.TrustedKeys, watching bool, peers ...string) *distributorNode {
	t.Helper()
	adapter := kvhttp.NewClient(storeURL, 0)
	n := &distributorNode{peers: peers}
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

func (n *distributorNode) await(t *testing.T, version uint64) {
	t.Helper()
	deadline := time.After(3 * time.Second)
	for {
		changed := n.Current.Changed()
		if current := n.Current.Load(); current != nil && current.Version == version {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("version %d is not the current version after 3 s", version)
		}
	}
}

// Guards against adapters that do not work together. A version must reach the node that watches the store through the
// protocol of the store, another node by broadcast and BundleService, and a node that starts while the store is down.
func TestBundleOverTheWire(t *testing.T) {
	memory := kvstore.NewMemory()
	server := httptest.NewServer(kvstore.NewServer(memory))
	t.Cleanup(func() { memory.CloseWatches(); server.CloseClientConnections(); server.Close() })
	key, err := bundle.GenerateKey(time.Time{})
	assert.NilError(t, err)
	trust := bundle.TrustedKeys{key.Public}
	watcher := startDistributorNode(t, server.URL, trust, true)
	other := startDistributorNode(t, server.URL, trust, false, watcher.addr)
	watcher.next = other

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
		watcher.await(t, version)
		other.await(t, version)
	}
	memory.SetFaults(kvstore.Faults{Down: true})
	late := startDistributorNode(t, server.URL, trust, true, other.addr)
	late.await(t, 3)
	behind := startDistributorNode(t, server.URL, trust, false)
	behind.ObserveVersion(3, late.addr)
	behind.await(t, 3)
}
