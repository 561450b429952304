package sidecar_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// cutStore is the view that one node has of the store, with a watch that delivers no events. While it is silent, calls fail when their
// context ends.
type cutStore struct{ faultyStore }

func newCutStore(memory *kvstore.Memory) *cutStore {
	c := &cutStore{faultyStore{Store: memory.NewProcess()}}
	c.silentWatches.Store(true)
	return c
}

func (c *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := c.fault(ctx); err != nil {
		return store.Entry{}, err
	}
	return c.Store.Get(ctx, key)
}

func (c *cutStore) Verify(ctx context.Context, key string, revision int64) (bool, error) {
	if err := c.fault(ctx); err != nil {
		return false, err
	}
	return store.Verify(ctx, c.Store, key, revision)
}

// startStrictMachine starts a node with strict revocation.
func startStrictMachine(t *testing.T, name string, s store.Store, bound time.Duration) *machine {
	t.Helper()
	return startConfiguredMachine(t, name, s, func(loaded *sidecar.Settings) {
		loaded.Revocation = sidecar.Revocation{Strict: true, Bound: settings.Duration(bound)}
	})
}

// keyed returns a request with the key "key" of the tenant "a".
func keyed() *caller.Request {
	return &caller.Request{Route: "any", Tenant: "a", Credential: caller.CredentialOf("key")}
}

// permits reports whether the node lets a request with the key run.
func (m *machine) permits() bool { return m.Permit(keyed()) == nil }

// proves waits until the node has its first proof and lets a request with the key run.
func (m *machine) proves(t *testing.T) {
	t.Helper()
	eventually(t, "keys are admitted by "+m.Settings.Node, 5*time.Second, func() bool {
		return m.log.contains("proof of the contracts obtained") && m.permits()
	})
}

// Guards against a node that goes on admitting a withdrawn key because it is cut off from the store and from all other nodes.
func TestNodeCutOffFromAllRefusesKeysBeforeTheBound(t *testing.T) {
	const bound = 3 * time.Second
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s", Tenants: keysOf("key")})
	view := newCutStore(memory)
	cut, other := startStrictMachine(t, "n1", view, bound), startStrictMachine(t, "n2", memory.NewProcess(), bound)
	cut.proves(t)
	other.proves(t)
	view.silent.Store(true)
	cut.CutDatagrams()
	publish(t, memory, document{Version: 2, Service: "s", Tenants: keysOf("another key")})
	acknowledged := time.Now()
	eventually(t, "the withdrawal at the other node", bound, func() bool {
		refusal := other.Permit(keyed())
		return refusal != nil && refusal.Reason == caller.Unauthenticated
	})
	time.Sleep(time.Until(acknowledged.Add(bound)))
	for range 10 {
		refusal := cut.Permit(keyed())
		assert.Assert(t, refusal != nil, "the withdrawn key is admitted %v after the withdrawal\n%s", time.Since(acknowledged), cut.log.lines(""))
		assert.Equal(t, refusal.Reason, caller.ContractsStale)
		assert.Equal(t, refusal.Ran, caller.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		time.Sleep(50 * time.Millisecond)
	}
	eventually(t, "the loss in the log", time.Second, func() bool { return cut.log.contains("proof of the contracts lost") })
	assert.Assert(t, cut.Permit(&caller.Request{Route: "any"}) == nil, "a request without a key")
}

// Guards against a node that refuses keys, or admits withdrawn ones, because it is cut off from the store although other nodes reach
// it. Its calls of the store get no answer, which must not hold up its queries to other nodes.
func TestNodeCutOffFromTheStoreServesByProofsOfOthers(t *testing.T) {
	const bound = 5 * time.Second
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s", Tenants: keysOf("key")})
	view := newCutStore(memory)
	machines := []*machine{
		startStrictMachine(t, "n1", view, bound), startStrictMachine(t, "n2", memory.NewProcess(), bound), startStrictMachine(t, "n3", memory.NewProcess(), bound),
	}
	for _, m := range machines {
		m.proves(t)
	}
	eventually(t, "the nodes know each other", 5*time.Second, func() bool { return len(machines[0].HeardNodes()) == len(machines)-1 })
	view.silent.Store(true)
	for end := time.Now().Add(2 * bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range machines {
			assert.Assert(t, m.permits(), "%s refuses keys: %v\n%s", m.Settings.Node, m.Permit(keyed()), m.log.lines(""))
		}
	}
	assert.Assert(t, !machines[0].log.contains("proof of the contracts lost"))
	response, err := http.Get("http://" + machines[0].MetricsAddr() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "magnoliawharf_sidecar_proof_age_seconds "))

	publish(t, memory, document{Version: 2, Service: "s", Tenants: keysOf("another key")})
	eventually(t, "the withdrawal", bound, func() bool {
		refusal := machines[0].Permit(keyed())
		return refusal != nil && refusal.Reason == caller.Unauthenticated
	})
}

// Guards against proofs that a node asks for, or requests that it refuses, although the settings or the contracts require none.
func TestNoProofIsNeededWithoutStrictRevocationOrKeys(t *testing.T) {
	for name, test := range map[string]struct {
		strict bool
		keys   []string
	}{"not strict": {false, []string{"key"}}, "no keys": {true, nil}} {
		t.Run(name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s", Tenants: keysOf(test.keys...)})
			m := startConfiguredMachine(t, "n1", memory.NewProcess(), func(loaded *sidecar.Settings) { loaded.Revocation.Strict = test.strict })
			eventually(t, "version 1", 5*time.Second, func() bool { return m.log.contains("version=1") })
			assert.Assert(t, m.permits())
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, !m.log.contains("proof of the contracts"))
		})
	}
}
