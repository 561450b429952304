package sidecar_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	contractsKey     = "operator/contracts"
	evacuationPrefix = "operator/evacuate/"
)

// panickingService is the service of a document at which decode panics.
const panickingService = "panics"

// document is the encoding of contracts in these tests.
type document struct {
	Version         uint64
	Service         string  // of every request
	Cold            float64 // requests a second that a cold upstream tolerates
	Padding         string
	Tenants         map[string][]string // keys by the name of the tenant
	TenantPerSecond float64             // quota of the tenant "acme", 0 for no such tenant
	// Objective is the latency objective of the routes, 0 for 8 s.
	Objective time.Duration
}

// keysOf returns the keys of the tenant "a", no tenants without keys.
func keysOf(keys ...string) map[string][]string {
	if len(keys) == 0 {
		return nil
	}
	return map[string][]string{"a": keys}
}

func decode(raw []byte) (*contract.Contracts, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, err
	}
	if d.Service == panickingService {
		panic("the decoder of the platform has a fault")
	}
	tenants := make(map[string]contract.Tenant)
	for name, keys := range d.Tenants {
		tenant := contract.Tenant{Name: name}
		for _, key := range keys {
			tenant.Credentials = append(tenant.Credentials, caller.CredentialOf(key))
		}
		tenants[name] = tenant
	}
	if d.TenantPerSecond > 0 {
		tenants["acme"] = contract.Tenant{Name: "acme", Quota: contract.Quota{PerSecond: d.TenantPerSecond}}
	}
	objective := cmp.Or(d.Objective, 8*time.Second)
	return contract.New(contract.Contracts{
		Version: d.Version, Source: raw, Tenants: tenants, Services: map[string]contract.Service{d.Service: {HealthPath: "/health", ColdPerSecond: d.Cold}},
		Routes: []contract.Route{
			{Name: "once", Host: "shop.example", PathPrefix: "/once/", Rule: bundle.NotIdempotent, Timeout: 10 * time.Second, LatencyObjective: objective, MaxAttempts: 2, Split: []contract.WeightedService{{Service: d.Service, Weight: 1}}},
			{Name: "any", Host: "shop.example", PathPrefix: "/any/", Rule: bundle.Idempotent, Timeout: 10 * time.Second, LatencyObjective: objective, MaxAttempts: 2, Split: []contract.WeightedService{{Service: d.Service, Weight: 1}}},
			{Name: "open", Host: "shop.example", PathPrefix: "/open/", Rule: bundle.Idempotent, Public: true, Timeout: 10 * time.Second, LatencyObjective: objective, MaxAttempts: 2, Split: []contract.WeightedService{{Service: d.Service, Weight: 1}}},
			{Name: "late", Host: "shop.example", PathPrefix: "/late/", Rule: bundle.Idempotent, Timeout: 10 * time.Second, LatencyObjective: time.Second, MaxAttempts: 2, Split: []contract.WeightedService{{Service: d.Service, Weight: 1}}},
		},
	})
}

func publish(t *testing.T, s store.Store, d document) {
	t.Helper()
	raw, err := json.Marshal(d)
	assert.NilError(t, err)
	current, err := s.Get(t.Context(), contractsKey)
	assert.Assert(t, err == nil || store.Is(err, store.ErrNotFound))
	_, err = s.Swap(t.Context(), contractsKey, raw, current.Revision, 0)
	assert.NilError(t, err)
}

// faultyStore is a store whose calls can be made to fail, at once or by a timeout, and whose watches can be made silent.
type faultyStore struct {
	store.Store
	unavailable   atomic.Bool
	silent        atomic.Bool
	silentWatches atomic.Bool
}

// silentCallTimeout is the time after which a call to a silent store fails.
const silentCallTimeout = 1500 * time.Millisecond

// fault returns the error of a call while the store is unavailable or silent.
func (f *faultyStore) fault(ctx context.Context) error {
	if f.unavailable.Load() {
		return store.ErrUnavailable.New("injected outage")
	}
	if f.silent.Load() {
		wait.For(ctx, silentCallTimeout)
		return store.ErrUnavailable.New("injected timeout")
	}
	return nil
}

func (f *faultyStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := f.fault(ctx); err != nil {
		return nil, err
	}
	return f.Store.List(ctx, prefix)
}

func (f *faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := f.fault(ctx); err != nil {
		return 0, err
	}
	return f.Store.GrantLease(ctx, ttl)
}

func (f *faultyStore) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	if err := f.fault(ctx); err != nil {
		return nil, err
	}
	if f.silentWatches.Load() {
		return make(chan store.Event), nil
	}
	return f.Store.Watch(ctx, prefix, after)
}

// machine is a node with its upstream, as on one instance.
type machine struct {
	*sidecar.Sidecar
	registrar sidecar.Registrar
	reload    chan struct{}
	load      func() (sidecar.Settings, error)
	upstream  *httptest.Server
	log       *lockedLog
	cancel    context.CancelFunc
	ended     chan error
	runs      atomic.Int64
	coldUntil atomic.Pointer[time.Time]   // end of the cold time in health reports, nil for no report of it
	states    atomic.Pointer[http.Header] // header fields in each answer of the upstream, nil for none
	mu        sync.Mutex
	ranAt     []time.Time // when each request came to the upstream
}

// startMachine starts a node of the service "s" with an upstream that answers with the node's name after ?work=DURATION.
func startMachine(t *testing.T, name string, s store.Store) *machine {
	t.Helper()
	return startConfiguredMachine(t, name, s, func(*sidecar.Settings) {})
}

// startMachineBehind starts a node whose peers' listener the other nodes reach through the proxy.
func startMachineBehind(t *testing.T, p *silentProxy, name string, s store.Store) *machine {
	t.Helper()
	m := startConfiguredMachine(t, name, s, func(loaded *sidecar.Settings) { loaded.Listen.Advertised = p.addr() })
	target := m.PeerAddr()
	p.target.Store(&target)
	return m
}

// startConfiguredMachine is startMachine with changed settings.
func startConfiguredMachine(t *testing.T, name string, s store.Store, change func(*sidecar.Settings)) *machine {
	t.Helper()
	m := &machine{log: &lockedLog{}, ended: make(chan error, 1), reload: make(chan struct{})}
	level := new(slog.LevelVar)
	m.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Upstream", "u-"+name)
		w.Header().Set("X-Load", "0,0,4")
		if r.URL.Path == "/health" {
			if until := m.coldUntil.Load(); until != nil {
				w.Header().Set("X-Cold", strconv.FormatInt(max(0, time.Until(*until).Milliseconds()), 10))
			}
			return
		}
		if states := m.states.Load(); states != nil {
			maps.Copy(w.Header(), *states)
		}
		m.runs.Add(1)
		m.mu.Lock()
		m.ranAt = append(m.ranAt, time.Now())
		m.mu.Unlock()
		if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
			time.Sleep(work)
		}
		fmt.Fprintf(w, "%s for %s", name, r.Header.Get("X-Origin"))
	}))
	t.Cleanup(m.upstream.Close)
	loaded := sidecar.DefaultSettings()
	loaded.Node, loaded.Zone, loaded.Region = name, "z", "r"
	loaded.Upstream.Service, loaded.Upstream.Address = "s", strings.TrimPrefix(m.upstream.URL, "http://")
	anyPort := "127.0.0.1:0"
	loaded.Listen = sidecar.Listen{Callers: anyPort, Peers: anyPort, Datagrams: anyPort, Registration: anyPort, Ready: anyPort, Metrics: anyPort}
	loaded.Runtime.Grace = settings.Duration(6 * time.Second)
	change(&loaded)
	m.Sidecar = &sidecar.Sidecar{
		Settings: loaded, Log: slog.New(slog.NewTextHandler(m.log, &slog.HandlerOptions{Level: level})), LogLevel: level,
		Platform: sidecar.Platform{
			Store: s, ContractsKey: contractsKey, ContractsPrefix: "operator/", EvacuationPrefix: evacuationPrefix, NodesPrefix: "nodes/", DeparturesPrefix: "departures/", DecodeContracts: decode,
			Dialect: caller.Dialect{
				RequestID: "X-Id", TimeLimit: "X-Time", Expect: "X-Expect", UpstreamID: "X-Upstream", NotRun: "X-Not-Run", Load: "X-Load", Origin: "X-Origin",
				RateLimit: "X-Limit", Leaving: "X-Leaving", Tenant: "X-Tenant", Cold: "X-Cold",
				ParseLoad: func(value string) (load caller.UpstreamLoad, ok bool) {
					_, err := fmt.Sscanf(value, "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots)
					return load, err == nil
				},
			},
			Registration: func(r sidecar.Registrar) http.Handler { m.registrar = r; return http.NotFoundHandler() },
			Readiness: func(ready func() bool) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if !ready() {
						w.WriteHeader(http.StatusServiceUnavailable)
					}
				})
			},
		},
	}
	m.load = func() (sidecar.Settings, error) {
		next := loaded
		next.Runtime.LogLevel, next.Retries.Ratio, next.Hedging.Ratio = "error", 0.07, 0.03
		return next, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	assert.NilError(t, m.Provision(ctx))
	go func() { m.ended <- errors.Join(m.Run(ctx, m.reload, m.load), m.Cleanup()) }()
	t.Cleanup(cancel)
	return m
}

func (m *machine) announce(t *testing.T) {
	t.Helper()
	assert.NilError(t, m.registrar.Announce(time.Now(), m.announcement()))
}

// announcement returns the first announcement of the upstream.
func (m *machine) announcement() inbound.Announcement {
	return inbound.Announcement{
		ID: "u-" + m.Settings.Node, Born: 1, Sequence: 1, Address: m.Settings.Upstream.Address, Service: "s", Slots: 4,
	}
}

// get sends a request to the node and returns the status and the body.
func (m *machine) get(path string) (int, string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.CallerAddr()+path, nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "shop.example"
	r.Header.Set("X-Id", fmt.Sprint(time.Now().UnixNano()))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func eventually(t *testing.T, what string, within time.Duration, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(within), poll.WithDelay(20*time.Millisecond))
}

func (m *machine) serves() bool {
	status, _, err := m.get("/any/")
	return err == nil && status == 200
}

func (m *machine) ready() bool {
	response, err := http.Get("http://" + m.ReadyAddr())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// Guards against a break in the path of a forwarded request: entry node, node beside the upstream, upstream and back.
func TestRequestFromEndToEnd(t *testing.T) {
	memory := kvstore.NewMemory()
	entry, upstreamNode := startMachine(t, "n1", memory), startMachine(t, "n2", memory)
	status, body, err := entry.get("/any/")
	assert.NilError(t, err)
	assert.Equal(t, status, 503, "before the first contracts: %s", body)
	assert.Assert(t, !entry.ready())
	publish(t, memory, document{Version: 1, Service: "s"})
	upstreamNode.announce(t)
	eventually(t, "served", 5*time.Second, entry.serves)
	assert.Assert(t, entry.ready())
	// The entry node finds its own upstream by a health check; deregister it, so that the other upstream answers.
	entry.registrar.Deregister(time.Now(), "u-n1")
	status, body, err = entry.get("/once/a?b=c")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "n2 for s")
	status, _, err = entry.get("/none/")
	assert.NilError(t, err)
	assert.Equal(t, status, 404)
	response, err := http.Get("http://" + entry.MetricsAddr() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `magnoliawharf_request_seconds_count{route="once"}`))
}

// Guards against nodes that keep old contracts because their watches deliver no events and do not end either.
func TestContractsWithoutAWatch(t *testing.T) {
	s := &faultyStore{Store: kvstore.NewMemory()}
	s.silentWatches.Store(true)
	publish(t, s, document{Version: 1, Service: "s"})
	machines := []*machine{startMachine(t, "n1", s), startMachine(t, "n2", s), startMachine(t, "n3", s)}
	for _, m := range machines {
		eventually(t, "version 1 at "+m.Settings.Node, 5*time.Second, func() bool { return m.log.contains("version=1") })
	}
	time.Sleep(time.Second) // until the nodes have discovered each other
	publish(t, s, document{Version: 2, Service: "s"})
	for _, m := range machines {
		eventually(t, "version 2 at "+m.Settings.Node, 2*time.Second, func() bool { return m.log.contains("version=2") })
	}
}

// Guards against a large document that saturates the link of the node from which all others fetch it uncompressed, and
// against one that a fetch corrupts.
func TestContractsAreCompressedBetweenNodes(t *testing.T) {
	s := &faultyStore{Store: kvstore.NewMemory()}
	publish(t, s, document{Version: 1, Service: "s", Padding: strings.Repeat("a route like many others ", 20_000)})
	first := startMachine(t, "n1", s)
	eventually(t, "version 1", 5*time.Second, func() bool { return first.log.contains("version=1") })
	response, err := http.Get("http://" + first.PeerAddr() + "/contracts")
	assert.NilError(t, err)
	defer response.Body.Close()
	compressed, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed) < 20_000, "%d bytes", len(compressed))
	s.unavailable.Store(true)
	late := startMachine(t, "n2", s)
	first.AddPeer(late.DatagramAddr())
	eventually(t, "version 1 from the other node", 3*time.Second, func() bool { return late.log.contains("version=1") })
}

// Guards against nodes that stop serving while the store is unavailable, and against a node restarted during the outage
// that finds neither contracts nor the other nodes.
func TestStoreOutage(t *testing.T) {
	s := &faultyStore{Store: kvstore.NewMemory()}
	publish(t, s, document{Version: 1, Service: "s"})
	n1, n2 := startMachine(t, "n1", s), startMachine(t, "n2", s)
	n1.announce(t)
	n2.announce(t)
	eventually(t, "served", 5*time.Second, func() bool { return n1.serves() && n2.serves() })
	s.unavailable.Store(true)
	assert.Assert(t, n1.serves() && n2.serves())

	late := startMachine(t, "n3", s)
	assert.Assert(t, !late.ready())
	// The others still know the address of a restarted node and keep querying it.
	n1.AddPeer(late.DatagramAddr())
	eventually(t, "ready without the store", 3*time.Second, late.ready)
	eventually(t, "served without the store", 3*time.Second, late.serves)
}

// Guards against a reload that aborts requests in flight or has no effect.
func TestReload(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	m := startMachine(t, "n1", memory)
	m.announce(t)
	eventually(t, "served", 5*time.Second, m.serves)
	result := make(chan int, 1)
	go func() {
		status, _, _ := m.get("/once/?work=500ms")
		result <- status
	}()
	time.Sleep(100 * time.Millisecond)
	m.reload <- struct{}{}
	eventually(t, "reload", time.Second, func() bool {
		return m.log.contains("settings reloaded") && m.log.contains("Ratio:0.07") && m.log.contains("Ratio:0.03")
	})
	assert.Equal(t, <-result, 200)
	before := m.log.count("request answered")
	assert.Assert(t, m.serves())
	assert.Equal(t, m.log.count("request answered"), before, "the log level has not changed")
}
