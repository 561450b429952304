// Package sidecar assembles the node process that runs beside each upstream on a platform with a key-value store. A node
// accepts requests of the callers on its instance (package entry), controls admission to its own upstream (package inbound)
// and tracks the other nodes (package peer). It reads the operator's contracts from the store and from other nodes.
// Everything specific to a platform comes in through Platform.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/departure"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/quota"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/datagram"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

// Platform holds the platform-specific parts of a node.
type Platform struct {
	Store            store.Store
	Dialect          caller.Dialect
	ContractsKey     string // key of the operator's document
	ContractsPrefix  string // prefix of the keys to watch for changes of the document
	EvacuationPrefix string // prefix of the keys that evacuate a zone, below ContractsPrefix; the zone follows. "" for none
	NodesPrefix      string // prefix of the keys under which nodes publish their datagram addresses
	DeparturesPrefix string // prefix of the keys that record the departures of upstreams
	DecodeContracts  func(document []byte) (*contract.Contracts, error)
	Registration     func(Registrar) http.Handler // takes the announcements of the upstream
	Readiness        func(ready func() bool) http.Handler
}

// Registrar receives the announcements of the upstream beside the node.
type Registrar interface {
	Announce(now time.Time, a inbound.Announcement) error
	Deregister(now time.Time, id string)
	// RecordInvalid records that an announcement was rejected.
	RecordInvalid(id string, cause error)
}

const (
	// contractsPath is the path on the peers' listener at which other nodes fetch the current contracts.
	contractsPath = "/contracts"
	// maxMissedAnnouncements is the number of announcement intervals without an announcement after which an upstream counts
	// as gone.
	maxMissedAnnouncements = 5
	// confirmPeriod bounds the delay of the announcements of an upstream.
	confirmPeriod = 10 * time.Second
	// retryBudgetShare is the share of the operator's retry limits that the nodes use. The nested calls of a retried request
	// count against the limits too, and no node can tell them from first attempts.
	retryBudgetShare = 0.5
	// callerConnectionShare is the share of the file descriptors that connections of callers may use.
	callerConnectionShare = 0.4
)

// Sidecar is one node. Provision, Run and Cleanup are called in this order, each once. After a failed Provision only
// Cleanup is called.
type Sidecar struct {
	Settings Settings
	Platform Platform
	Log      *slog.Logger
	LogLevel *slog.LevelVar // changed by a reload; nil leaves the level of Log as it is

	retries         atomic.Pointer[Retries]
	hedging         atomic.Pointer[Hedging]
	stopRequestedAt atomic.Pointer[time.Time] // nil while the node is not to stop

	boot           uint64 // identifies this run of the process to other nodes
	contracts      *contract.Current
	proxy          *inbound.Proxy
	entry          *entryhttp.Handler
	roster         *peer.Roster
	evacuations    *peer.Evacuations
	evacuating     sync.Mutex // held while a change is applied to the proxy
	socket         *datagram.Socket
	suspects       *quarantine.List
	departures     *departure.Records
	quota          *quota.Node
	remote         *peerhttp.Client
	upstream       *upstreamconn.Client
	fetchClient    *http.Client // fetches contracts from other nodes
	reports        versionReports
	proofs         *proofRenewal // nil unless revocation is strict
	compressed     compressedContracts
	storeClient    *store.Client
	storeReachable atomic.Bool   // whether this node reaches the store
	retryStore     chan struct{} // signals that another node reaches the store again; capacity 1
	eraReports     *eraReports
	eraSchedule    eraSchedule
	nodesFound     chan struct{}    // closed when the first other nodes are known, or the store has been asked for them
	foundNodes     sync.Once        // guards the closing of nodesFound
	wasReady       atomic.Bool      // the readiness probe has succeeded
	stopping       atomic.Bool      // the readiness probe fails
	rejecting      atomic.Bool      // new requests are refused
	requests       inflight.Counter // requests of callers
	arrived        atomic.Uint64    // requests of callers so far, with those that were refused

	dispatcher *entry.Dispatcher

	callers, peers, registration, ready, metricsServer *httpserver.Server
	operator                                           *httpserver.Server // nil without an address
}

// Provision builds the node and binds its listeners, without serving requests yet. Cleanup must be called afterwards, also
// after an error. The grace period of the shutdown counts from the end of ctx, which is that of Run, also when it ends before Run
// is called.
func (s *Sidecar) Provision(ctx context.Context) error {
	s.recordStopRequest(ctx)
	s.boot = rand.Uint64() >> 1 // 63 bits, for a short encoding in messages
	s.retryStore = make(chan struct{}, 1)
	s.nodesFound = make(chan struct{})
	s.eraReports = newEraReports()
	s.contracts = contract.NewCurrent()
	s.retries.Store(&s.Settings.Retries)
	s.hedging.Store(&s.Settings.Hedging)
	s.remote = peerhttp.NewClient(instance.ID(s.Settings.Node), nil)
	s.upstream = upstreamconn.NewClient(s.Platform.Dialect)
	s.storeClient = s.newStoreClient()
	s.fetchClient = transport.NewSingleUseClient()
	if err := s.listen(); err != nil {
		return err
	}
	s.suspects = quarantine.NewList(s)
	s.departures = departure.New(departure.Options{
		Store: s.storeClient, Prefix: s.Platform.DeparturesPrefix, EraDelay: s.eraDelay, Log: s.Log,
	})
	s.proxy = inbound.New(inbound.Options{
		Node: s.Settings.Node, Boot: s.boot, Address: cmp.Or(s.Settings.Listen.Advertised, s.peers.Addr()), Zone: s.Settings.Zone,
		Service: s.Settings.Upstream.Service, Upstream: s.Settings.Upstream.Address, HealthPath: s.healthPath, ColdRate: s.coldRate,
		FreshFor:        time.Duration(s.Settings.Routing.FreshFor),
		AnnounceEvery:   time.Duration(s.Settings.Upstream.AnnounceEvery),
		ConfirmPeriod:   confirmPeriod,
		Departures:      s.departures,
		LivenessTimeout: maxMissedAnnouncements * time.Duration(s.Settings.Upstream.AnnounceEvery),
		SlotShare:       s.Settings.Upstream.SlotShare, Client: s.upstream, Suspects: s.suspects,
		OnStatusChange: func() { s.roster.UpdateOwnStatus() }, Log: s.Log,
	})
	s.evacuations = peer.NewEvacuations(peer.EvacuationOptions{
		Zone: s.Settings.Zone, Send: s.socket.SendEvacuations, OnChange: s.applyOwnEvacuation, Log: s.Log,
	})
	s.roster = peer.NewRoster(peer.Options{
		Zone: s.Settings.Zone, Address: s.socket.Addr(), Routing: peerRouting(s.Settings),
		Sender: s.socket, Self: localNode{s}, OnStoreReachable: s.peerReachedStore, OnContact: s.handleContact,
		Evacuations: s.evacuations, Log: s.Log,
	})
	s.socket.Version, s.socket.OnVersion = s.contracts.Version, s.handlePeerVersion
	s.socket.OnNotice = func(n quarantine.Notice) { s.suspects.Receive(time.Now(), n) }
	s.socket.OnSuspects = s.mergeSuspects
	s.socket.OnStoreEra = s.handlePeerEra
	s.provisionProof()
	s.socket.OnEvacuations = func(states []peer.Evacuation) { s.evacuations.Merge(time.Now(), states) }
	s.newQuota()
	s.setHandlers()
	return nil
}

func (s *Sidecar) listen() (err error) {
	if s.socket, err = datagram.Listen(s.Settings.Listen.Datagrams, s.Log); err != nil {
		return fmt.Errorf("listener datagrams: %w", err)
	}
	for _, l := range []struct {
		server  **httpserver.Server
		options httpserver.Options
	}{
		{&s.callers, httpserver.Options{
			Name: "callers", Addr: s.Settings.Listen.Callers, MaxHeaderBytes: httpserver.CallerHeaderBytes,
			MaxConnections: int(callerConnectionShare * float64(s.Settings.Runtime.Descriptors)),
			Repeatable:     func(r *http.Request) bool { return s.entry.Repeatable(r) },
		}},
		{&s.peers, httpserver.Options{Name: "peers", Addr: s.Settings.Listen.Peers, MaxHeaderBytes: httpserver.PeerHeaderBytes}},
		{&s.registration, httpserver.Options{Name: "registration", Addr: s.Settings.Listen.Registration, MaxHeaderBytes: httpserver.CallerHeaderBytes, ControlTimeouts: true}},
		{&s.ready, httpserver.Options{Name: "ready", Addr: s.Settings.Listen.Ready, MaxHeaderBytes: httpserver.CallerHeaderBytes, ControlTimeouts: true}},
		{&s.operator, httpserver.Options{
			Name: "operator", Addr: s.Settings.Listen.Operator, MaxHeaderBytes: httpserver.CallerHeaderBytes,
			MaxConnections: maxOperatorConnections, ControlTimeouts: true,
		}},
		{&s.metricsServer, httpserver.Options{Name: "metrics", Addr: s.Settings.Listen.Metrics, MaxHeaderBytes: httpserver.CallerHeaderBytes, ControlTimeouts: true}},
	} {
		l.options.Log = s.Log
		if l.options.Addr == "" {
			continue // the operator's listener is optional
		}
		if *l.server, err = httpserver.Listen(l.options); err != nil {
			return fmt.Errorf("listener %s: %w", l.options.Name, err)
		}
	}
	return nil
}

func (s *Sidecar) setHandlers() {
	s.dispatcher = entry.New(entry.Dispatcher{
		Service: s.Settings.Upstream.Service, Roster: s.roster, Forward: &forwarder{localBoot: s.boot, proxy: s.proxy, remote: s.remote},
		Budgets: caller.NewEmptyRetryBudgets(s.retryBurst), RetryRatio: s.retryRatio,
		HedgeRatio: s.hedgeRatio, HedgeByObjective: s.hedgeByObjective,
		Quarantine: s.suspects, Permit: s.permit, PreviewPermit: s.previewPermit, Quota: s.quota, Log: s.Log,
	})
	s.entry = &entryhttp.Handler{
		Contracts: s.contracts, Splits: contract.NewSplitter(), Dispatcher: s.dispatcher, Dialect: s.Platform.Dialect,
		Origin: s.Settings.Upstream.Service, IsCurrent: s.isCurrent,
	}
	s.callers.Handle(s.trackRequests(s.entry))
	routes := &httpserver.Routes{}
	forwarded := &peerhttp.Server{Proxy: s.proxy}
	routes.Handle(peerhttp.ForwardPrefix+"/", forwarded)
	routes.Handle(peerhttp.CancelPath, forwarded)
	routes.Handle(contractsPath, http.HandlerFunc(s.serveContracts))
	s.peers.Handle(routes)
	s.registration.Handle(s.Platform.Registration(recordingRegistrar{s.proxy, s.departures}))
	s.ready.Handle(s.Platform.Readiness(s.isReady))
	if s.operator != nil {
		s.operator.Handle(http.HandlerFunc(s.serveExplain))
	}
	s.metricsServer.Handle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeGauges(w)
		s.writeQuotaGauges(w)
		metrics.Write(w)
	}))
}

// writeGauges writes the age of the proof, the number of evacuated zones, and the rate limit and the cold rate of the upstream
// beside this node while they are in force.
func (s *Sidecar) writeGauges(w io.Writer) {
	s.writeProofAge(w)
	fmt.Fprintf(w, "magnoliawharf_sidecar_zones_evacuated %d\n", s.evacuations.CountActive())
	if perSecond := s.proxy.ColdRate(); perSecond > 0 {
		fmt.Fprintf(w, "magnoliawharf_sidecar_cold_rate %g\n", perSecond)
	}
	if limit := s.proxy.RateLimit(time.Now()); limit.Named {
		fmt.Fprintf(w, "magnoliawharf_sidecar_rate_limit %g\n", limit.PerSecond)
		fmt.Fprintf(w, "magnoliawharf_sidecar_rate_left %g\n", limit.Available)
	}
}

// trackRequests counts the requests of callers in flight, and refuses those that arrive too late in a shutdown to be
// finished.
func (s *Sidecar) trackRequests(next *entryhttp.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived.Add(1)
		if refusal := s.refuseArrival(); refusal != nil {
			next.Refuse(w, r, refusal)
			return
		}
		defer s.requests.Begin()()
		next.ServeHTTP(w, r)
	})
}

// refuseArrival returns the refusal of a request that arrives too late in a shutdown, nil before.
func (s *Sidecar) refuseArrival() *caller.Refusal {
	if !s.rejecting.Load() {
		return nil
	}
	return caller.Refuse(caller.Draining, "accept", s.Settings.Node)
}

// retryBurst returns the burst of a service's retry budget at this node: an equal share, among the known nodes, of
// retryBudgetShare of the allowance.
func (s *Sidecar) retryBurst() float64 {
	return s.retries.Load().Allowance * retryBudgetShare / float64(max(1, s.roster.Len()))
}

// retryRatio returns the number of retries that each request adds to the budget of its service.
func (s *Sidecar) retryRatio() float64 { return s.retries.Load().Ratio * retryBudgetShare }

// hedgeRatio returns the largest share of a service's requests that are hedged.
func (s *Sidecar) hedgeRatio() float64 { return s.hedging.Load().Ratio }

// hedgeByObjective reports whether the delay before a hedge follows from the objective.
func (s *Sidecar) hedgeByObjective() bool { return s.hedging.Load().Delay == delayByObjective }

func peerRouting(s Settings) peer.Routing {
	return peer.Routing{FreshFor: time.Duration(s.Routing.FreshFor), ZoneCost: time.Duration(s.Routing.ZoneCost)}
}

// CallerAddr returns the bound address of the callers' listener.
func (s *Sidecar) CallerAddr() string { return s.callers.Addr() }

// PeerAddr returns the bound address of the listener for other nodes.
func (s *Sidecar) PeerAddr() string { return s.peers.Addr() }

// DatagramAddr returns the bound address of UDP messages between nodes.
func (s *Sidecar) DatagramAddr() netip.AddrPort { return s.socket.Addr() }

// AddPeer adds the datagram address of a possible node, in addition to those found in the store.
func (s *Sidecar) AddPeer(addr netip.AddrPort) { s.roster.AddNode(addr) }

// ReadyAddr returns the bound address of the readiness probe.
func (s *Sidecar) ReadyAddr() string { return s.ready.Addr() }

// MetricsAddr returns the bound address of the metrics endpoint.
func (s *Sidecar) MetricsAddr() string { return s.metricsServer.Addr() }

func (s *Sidecar) isReady() bool {
	ready := !s.stopping.Load() && s.contracts.Load() != nil
	if ready {
		s.wasReady.Store(true)
	}
	return ready
}

func (s *Sidecar) healthPath(service string) string {
	if c := s.contracts.Load(); c != nil {
		return c.Services[service].HealthPath
	}
	return ""
}

// coldRate implements inbound.Options.ColdRate.
func (s *Sidecar) coldRate(service string) (perSecond float64, known bool) {
	c := s.contracts.Load()
	if c == nil {
		return 0, false
	}
	return c.Services[service].ColdPerSecond, true
}

func (s *Sidecar) servers() []*httpserver.Server {
	servers := []*httpserver.Server{s.callers, s.peers, s.registration, s.ready, s.metricsServer}
	if s.operator != nil {
		servers = append(servers, s.operator)
	}
	return servers
}

// Run serves until ctx ends and then shuts down gracefully. It returns nil after a graceful shutdown, else the error of a
// listener or of a shutdown that exceeded the grace period. A value on reload makes it call load and apply the settings.
func (s *Sidecar) Run(ctx context.Context, reload <-chan struct{}, load func() (Settings, error)) error {
	failed := make(chan error, len(s.servers())+1)
	for _, server := range s.servers() {
		go func() {
			if err := server.Serve(); err != nil {
				failed <- fmt.Errorf("listener %s: %w", server.Name(), err)
			}
		}()
	}
	// Background work continues during the shutdown, because requests in flight need the roster.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		if err := s.socket.Serve(background, s.roster); err != nil {
			failed <- fmt.Errorf("listener datagrams: %w", err)
		}
	}()
	go s.roster.Run(background)
	go s.runQuota(background)
	go s.proxy.Watch(background)
	s.startStoreSync(background)
	s.Log.Info("node started", "node", s.Settings.Node, "boot", s.boot, "zone", s.Settings.Zone, "service", s.Settings.Upstream.Service)
	for {
		select {
		case <-ctx.Done():
			return s.stop()
		case err := <-failed:
			return errors.Join(err, s.stop())
		case <-reload:
			s.reload(load)
		}
	}
}
