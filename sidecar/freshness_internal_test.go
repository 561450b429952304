package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	keyedDocument = "operator/contracts"
	testBound     = 5 * time.Second
)

// keyedContracts is the encoding of contracts in these tests.
type keyedContracts struct {
	Version uint64
	Key     string // of the tenant "a"
}

func decodeKeyed(raw []byte) (*contract.Contracts, error) {
	var d keyedContracts
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, err
	}
	route := contract.Route{Name: "keyed", Host: "h", PathPrefix: "/", Rule: bundle.Idempotent, MaxAttempts: 1, Split: []contract.WeightedService{{Service: "s", Weight: 1}}}
	public := route
	public.Name, public.PathPrefix, public.Public = "public", "/public/", true
	return contract.New(contract.Contracts{
		Version: d.Version, Source: raw, Services: map[string]contract.Service{"s": {}}, Routes: []contract.Route{route, public},
		Tenants: map[string]contract.Tenant{"a": {Name: "a", Credentials: []caller.Credential{caller.CredentialOf(d.Key)}}},
	})
}

// strictNode is a node with strict revocation that is not running, with a clock that the test moves.
type strictNode struct {
	*Sidecar
	now freshness.Instant
}

func provisionStrict(t *testing.T, memory *kvstore.Memory) *strictNode {
	t.Helper()
	n := &strictNode{Sidecar: provision(t, memory, 0, 0), now: freshness.Instant(time.Hour)}
	n.storeClient = store.NewClient(memory.NewProcess(), 100, 100)
	n.Platform.ContractsKey, n.Platform.DecodeContracts = keyedDocument, decodeKeyed
	n.proofs = newProofRenewal(func() freshness.Instant { return n.now }, testBound)
	return n
}

func (n *strictNode) advance(d time.Duration) { n.now = n.now.Add(d) }

// reasonOf returns the reason for which the node refuses a request of the tenant with the key, "" when it would send it to an upstream.
func (n *strictNode) reasonOf(key string) caller.Reason {
	contracts := n.contracts.Load()
	if contracts == nil {
		contracts = &contract.Contracts{Routes: []contract.Route{{Name: "keyed"}}}
	}
	_, err := n.entry.Dispatcher.Dispatch(context.Background(), &caller.Request{
		Route: "keyed", Service: "s", Tenant: "a", Credential: caller.CredentialOf(key), Body: caller.NewBody(nil, 0), Placement: &caller.Placement{},
	}, &contracts.Routes[0])
	refusal := caller.AsRefusal(err, caller.PeerLost, "")
	if refusal.Reason == caller.NoUpstream { // the node knows none
		return ""
	}
	return refusal.Reason
}

func documentOf(t *testing.T, version uint64, key string) []byte {
	t.Helper()
	raw, err := json.Marshal(keyedContracts{Version: version, Key: key})
	assert.NilError(t, err)
	return raw
}

func publishRaw(t *testing.T, memory *kvstore.Memory, raw []byte) {
	t.Helper()
	assert.NilError(t, store.Put(t.Context(), memory, keyedDocument, raw, 0))
}

// Guards against a key that is admitted without a proof, by a proof that a frozen or suspended machine has kept, or after its withdrawal;
// and against refusals of requests that need no proof.
func TestPermit(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 1, "k"))
	n := provisionStrict(t, memory)
	assert.Equal(t, n.reasonOf("k"), caller.ContractsStale, "before the first contracts")
	assert.Assert(t, n.renewByStore(t.Context()))
	assert.Equal(t, n.reasonOf("k"), caller.Reason(""))
	assert.Equal(t, n.reasonOf("other"), caller.Unauthenticated)
	n.advance(time.Minute) // as after a suspension
	assert.Equal(t, n.reasonOf("k"), caller.ContractsStale)
	refusal := n.permit(&caller.Request{Route: "keyed", Tenant: "a", Credential: caller.CredentialOf("k")})
	assert.Assert(t, refusal.Ran == caller.NotRun && refusal.RetryAfter >= minStaleRetryAfter && refusal.RetryAfter <= 2*minStaleRetryAfter)
	assert.Assert(t, n.permit(&caller.Request{Route: "keyed"}) == nil, "a request without a tenant")
	assert.Assert(t, n.permit(&caller.Request{Route: "public", Tenant: "a", Public: true}) == nil, "a request on a public route")
	publishRaw(t, memory, documentOf(t, 2, "k2"))
	assert.Assert(t, n.renewByStore(t.Context()))
	assert.Equal(t, n.reasonOf("k"), caller.Unauthenticated, "accepted under version 1, tried again under version 2")
	assert.Equal(t, n.reasonOf("k2"), caller.Reason(""))
}

// Guards against a restarted node that admits a withdrawn key because another node, or a watch that is silent for a second, gave it an
// older document than that of the store.
func TestOlderDocumentOfAnotherSourceIsNoProof(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 2, "k2"))
	n := provisionStrict(t, memory)
	n.adopt(documentOf(t, 1, "k0"), "another node", "")
	assert.Equal(t, n.reasonOf("k0"), caller.ContractsStale)
	n.applyWatchUpdate(store.Snapshot{Entries: []store.Entry{{Key: keyedDocument, Value: documentOf(t, 1, "k"), Revision: 1}}})
	assert.Equal(t, n.reasonOf("k"), caller.ContractsStale)
	other := netip.MustParseAddrPort("10.0.0.1:1")
	n.proofs.queries.Add(1, []netip.AddrPort{other})
	n.handleFreshnessReply(freshness.Reply{Number: 1, Version: 2}, other)
	assert.Equal(t, n.reasonOf("k"), caller.ContractsStale, "a proof of newer contracts")
	assert.Assert(t, n.renewByStore(t.Context()))
	assert.Equal(t, n.reasonOf("k"), caller.Unauthenticated)
}

// Guards against renewals that read the whole document although its revision is known, from a read or from another node, and against
// the revision of another node that counts in a later era of the store or for other contracts.
func TestRenewalsCompareTheRevision(t *testing.T) {
	for _, test := range []struct {
		name   string
		header string
		reads  int
	}{
		{"known", "1 1 1", 0}, {"unknown", "", 1}, {"of another era", "2 1 1", 1}, {"of other contracts", "1 1 2", 1},
		{"of no era", "0 1 1", 1}, {"changed since", "1 7 1", 1}, {"unreadable", "1 x", 1}, {"below 0", "1 -1 1", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publishRaw(t, memory, documentOf(t, 1, "k"))
			n := provisionStrict(t, memory)
			_, err := n.storeClient.Get(t.Context(), "nodes/any") // the answer shows the era
			assert.Assert(t, store.Is(err, store.ErrNotFound))
			n.adopt(documentOf(t, 1, "k"), "another node", "")
			n.learnClaim(http.Header{claimField: []string{test.header}})
			before := memory.Calls()
			assert.Assert(t, n.renewByStore(t.Context()))
			assert.Equal(t, memory.Calls().Reads-before.Reads, test.reads)
			assert.Equal(t, n.reasonOf("k"), caller.Reason(""))
			before = memory.Calls()
			n.advance(time.Second)
			assert.Assert(t, n.renewByStore(t.Context()))
			assert.Equal(t, memory.Calls().Reads, before.Reads, "read again")
			header := http.Header{}
			n.writeClaim(header, 1)
			assert.Equal(t, header.Get(claimField), "1 1 1")
			n.writeClaim(header, 2)
			assert.Equal(t, header.Get(claimField), "1 1 1", "other contracts")
		})
	}
}

// Guards against a revision that other nodes do not learn with the contracts, so that each of them reads the document.
func TestRevisionIsServedWithTheContracts(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 1, "k"))
	serving, fetching := provisionStrict(t, memory), provisionStrict(t, memory)
	assert.Assert(t, serving.renewByStore(t.Context()))
	server := httptest.NewServer(http.HandlerFunc(serving.serveContracts))
	t.Cleanup(server.Close)
	_, err := fetching.storeClient.Get(t.Context(), "nodes/any") // the answer shows the era
	assert.Assert(t, store.Is(err, store.ErrNotFound))
	assert.NilError(t, fetching.fetchFromPeer(t.Context(), strings.TrimPrefix(server.URL, "http://"), make(chan struct{}, 1)))
	claim, known := fetching.proofs.claims.Of(1)
	assert.Assert(t, known && claim.Revision == 1)
	assert.Equal(t, fetching.reasonOf("k"), caller.ContractsStale, "the revision alone is no proof")
	reads := memory.Calls().Reads
	assert.Assert(t, fetching.renewByStore(t.Context()))
	assert.Equal(t, memory.Calls().Reads, reads)
}

// Guards against a restarted node that admits a withdrawn key because it reads an older document from a restored store, before it hears
// that the others have a newer one; and against nodes that start together and refuse keys for long.
func TestRestartedNodeHearsOthersBeforeItsFirstProof(t *testing.T) {
	other := netip.MustParseAddrPort("127.0.0.1:1")
	for _, test := range []struct {
		name    string
		version uint64 // in the reply of the other node, 0 for no reply
		want    caller.Reason
	}{{"newer version", 2, caller.ContractsStale}, {"same version", 1, ""}, {"no answer", 0, ""}} {
		t.Run(test.name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publishRaw(t, memory, documentOf(t, 1, "k"))
			n := provisionStrict(t, memory)
			n.roster.HandleStatus(other, peer.StatusMessage{Status: peer.Status{Node: "n2", Boot: 1, Address: "127.0.0.1:1", Zone: "z"}})
			assert.Assert(t, !n.renewByStore(t.Context()))
			assert.Equal(t, n.reasonOf("k"), caller.ContractsStale)
			n.proofs.queries.Add(1, []netip.AddrPort{other})
			if test.version > 0 {
				n.handleFreshnessReply(freshness.Reply{Number: 1, Version: test.version, Age: freshness.NoProof}, other)
				assert.Equal(t, n.reasonOf("k"), test.want)
			}
			n.advance(n.proofs.schedule.ListenTime())
			assert.Equal(t, n.renewByStore(t.Context()), test.want == "")
			assert.Equal(t, n.reasonOf("k"), test.want)
		})
	}
}

// Guards against a node that lost its proof and takes a document of its own version in a restored store for a new one.
func TestNodeThatMissedTheReturnOfTheStore(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 1, "k"))
	n := provisionStrict(t, memory)
	assert.Assert(t, n.renewByStore(t.Context()))
	older := memory.Copy()
	publishRaw(t, memory, documentOf(t, 2, "k2")) // while the node is cut off
	memory.Restore(older)
	n.advance(testBound)
	assert.Assert(t, !n.renewByStore(t.Context()))
	assert.Equal(t, n.reasonOf("k"), caller.ContractsStale)
	n.adopt(documentOf(t, 2, "k2"), "another node", "")
	n.advance(n.proofs.schedule.ListenTime())
	assert.Assert(t, n.renewByStore(t.Context()))
	assert.Equal(t, n.reasonOf("k"), caller.Unauthenticated)
}

// Guards against a node that takes the document of a restored store for a proof although it has missed versions, against one that
// compares revisions of two eras, and against nodes that refuse all keys until the operator writes again.
func TestRestoredStore(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 1, "k"))
	older := memory.Copy()
	publishRaw(t, memory, documentOf(t, 2, "k2"))
	follows, missed := provisionStrict(t, memory), provisionStrict(t, memory)
	for _, n := range []*strictNode{follows, missed} {
		assert.Assert(t, n.renewByStore(t.Context()))
	}
	publishRaw(t, memory, documentOf(t, 3, "k3"))
	assert.Assert(t, follows.renewByStore(t.Context()))
	memory.Restore(older)
	publishRaw(t, memory, documentOf(t, 1, "k")) // it gets the revision that version 2 had
	assert.Assert(t, follows.renewByStore(t.Context()), "a node that has missed nothing")
	assert.Equal(t, follows.reasonOf("k3"), caller.Reason(""))
	assert.Equal(t, follows.reasonOf("k"), caller.Unauthenticated, "readmitted by the older document")

	missed.advance(testBound)
	assert.Assert(t, !missed.renewByStore(t.Context()), "a node that was cut off")
	missed.proofs.heardVersion(3)
	missed.advance(testBound / 2)
	assert.Assert(t, !missed.renewByStore(t.Context()), "another node has a newer version")
	assert.Equal(t, missed.reasonOf("k2"), caller.ContractsStale)
	missed.adopt(documentOf(t, 3, "k3"), "another node", "")
	assert.Assert(t, !missed.renewByStore(t.Context()))
	missed.advance(testBound / 5)
	assert.Assert(t, missed.renewByStore(t.Context()), "no other node has a newer version")
	assert.Equal(t, missed.reasonOf("k3"), caller.Reason(""))
}

// Guards against an operator's mistake that ends the service: a document that is invalid as a whole, or none, withdraws no key.
func TestUnreadableDocumentKeepsTheProof(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 1, "k"))
	n := provisionStrict(t, memory)
	assert.Assert(t, n.renewByStore(t.Context()))
	publishRaw(t, memory, []byte("no document"))
	for range 3 {
		n.advance(testBound / 2)
		assert.Assert(t, n.renewByStore(t.Context()))
	}
	current, err := memory.Get(t.Context(), keyedDocument)
	assert.NilError(t, err)
	assert.NilError(t, memory.Delete(t.Context(), keyedDocument, current.Revision))
	for range 3 {
		n.advance(testBound / 2)
		assert.Assert(t, n.renewByStore(t.Context()))
	}
	assert.Equal(t, n.reasonOf("k"), caller.Reason(""))
	publishRaw(t, memory, documentOf(t, 2, "k2"))
	assert.Assert(t, n.renewByStore(t.Context()))
	assert.Equal(t, n.reasonOf("k"), caller.Unauthenticated)
}

// rejectingStore rejects comparisons, after a delay.
type rejectingStore struct {
	store.Store
	delay time.Duration
}

func (r *rejectingStore) Verify(ctx context.Context, _ string, _ int64) (bool, error) {
	wait.For(ctx, r.delay)
	return false, store.ErrUnavailable.New("injected rejection")
}

// Guards against a node that never renews its proof by a store that rejects transactions without writes, against a call of a slow store
// that lasts until its proof would be of no use, and against a slow store that must then send the whole document.
func TestStoreThatRejectsComparisons(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "slow": time.Hour} {
		t.Run(name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publishRaw(t, memory, documentOf(t, 1, "k"))
			n := provisionStrict(t, memory)
			n.storeClient = store.NewClient(&rejectingStore{memory, delay}, 100, 100)
			assert.Assert(t, n.renewByStore(t.Context()))
			assert.Assert(t, !n.renewByStore(t.Context()))
			_, known := n.proofs.claims.Of(1)
			assert.Equal(t, known, delay > 0)
			assert.Equal(t, n.renewByStore(t.Context()), delay == 0, "the document is read after a rejected comparison")
		})
	}
}

// Guards against a proof of an instant before which a version was written: the instant of a slow read is that of its sending, and a read
// during which the store returned from an older copy proves nothing.
func TestInstantOfARead(t *testing.T) {
	memory := kvstore.NewMemory()
	publishRaw(t, memory, documentOf(t, 1, "k"))
	n := provisionStrict(t, memory)
	assert.Assert(t, n.renewByStore(t.Context()))
	n.advance(time.Second)
	reading := n.beginRead()
	n.advance(3 * time.Second)
	assert.Assert(t, n.endRead(reading, storedDocument{revision: 1, version: 1, valid: true}))
	age, _ := n.proofs.proof.Age()
	assert.Equal(t, age, 3*time.Second)
	reading = n.beginRead()
	memory.Restore(memory.Copy())
	_, err := n.storeClient.Get(t.Context(), keyedDocument) // the answer shows the era
	assert.NilError(t, err)
	assert.Assert(t, !n.endRead(reading, storedDocument{revision: 1, version: 1, valid: true}))
}
