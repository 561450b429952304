// Package sidecar assembles the node that runs beside each upstream on a platform with a key-value store: the entry for
// the callers of its machine, the gate to its upstream, and the roster of the other nodes. It knows no platform's names;
// a Platform brings them.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/gate"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/datagram"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

// Platform is what the node needs of the platform that it runs on.
type Platform struct {
	Store           store.Store
	Dialect         caller.Dialect
	ContractsKey    string // key of the operator's document
	ContractsPrefix string // prefix of keys to watch for it
	EntriesPrefix   string // prefix of the keys under which nodes find each other
	DecodeContracts func(document []byte) (*contract.Contracts, error)
	Registration    func(Registrar) http.Handler // announcements of the upstream
	Readiness       func(ready func() bool) http.Handler
}

// Registrar takes what the upstream beside the node says of itself.
type Registrar interface {
	Announce(now time.Time, a gate.Announcement) error
	Leave(now time.Time, id string)
}

const (
	// contractsPath serves the contracts in force to nodes that lag, on the peers' listener.
	contractsPath = "/contracts"
	// lapseBeats is the number of announcements that may fail to come before an upstream counts as gone.
	lapseBeats = 5
	// retryShare is the share of the operator's bounds of retries that the nodes use. Calls that a repeated run makes count
	// as repeats too, and no node knows of them.
	retryShare = 0.5
	// callerShare is the share of the descriptors for connections of callers.
	callerShare = 0.4
)

// Sidecar is one node. Its life is Provision, Run and Cleanup, each once.
type Sidecar struct {
	Settings Settings
	Platform Platform
	Log      *slog.Logger
	LogLevel *slog.LevelVar // changed by a reload; nil leaves the level of Log as it is

	retries atomic.Pointer[Retries]

	boot      uint64
	contracts *contract.InForce
	gate      *gate.Gate
	roster    *peer.Roster
	socket    *datagram.Socket
	suspects  *quarantine.List
	remote    *peerhttp.Client
	upstream  *upstreamconn.Client
	control   *transport.ControlClient
	fetching  atomic.Bool
	packed    packedContracts
	follows   atomic.Bool      // the store is reached
	wake      chan struct{}    // has an entry when another node has reached the store again
	stopping  atomic.Bool      // out of readiness
	closing   atomic.Bool      // new requests are refused
	requests  inflight.Counter // of callers

	callers, peers, registration, ready, metricsServer *httpserver.Server
}

// Provision builds the node and binds its listeners. It serves nothing yet. Cleanup must follow, also after an error.
func (s *Sidecar) Provision() error {
	s.boot = rand.Uint64() >> 1 // the message codec keeps it short
	s.wake = make(chan struct{}, 1)
	s.contracts = contract.NewInForce()
	s.retries.Store(&s.Settings.Retries)
	s.remote = peerhttp.NewClient(instance.ID(s.Settings.Node), nil)
	s.upstream = upstreamconn.NewClient(s.Platform.Dialect)
	s.control = transport.NewControlClient()
	if err := s.listen(); err != nil {
		return err
	}
	s.suspects = quarantine.NewList(s)
	s.gate = gate.New(gate.Options{
		Node: s.Settings.Node, Boot: s.boot, Address: cmp.Or(s.Settings.Listen.Advertised, s.peers.Addr()), Zone: s.Settings.Zone,
		Service: s.Settings.Upstream.Service, Upstream: s.Settings.Upstream.Address, HealthPath: s.healthPath,
		FreshFor:   time.Duration(s.Settings.Routing.FreshFor),
		LapseAfter: lapseBeats * time.Duration(s.Settings.Upstream.AnnounceEvery),
		SlotShare:  s.Settings.Upstream.SlotShare, Client: s.upstream, Suspects: s.suspects,
		Changed: func() { s.roster.Changed() }, Log: s.Log,
	})
	s.roster = peer.NewRoster(peer.Options{
		Zone: s.Settings.Zone, Address: s.socket.Addr(), Routing: routingOf(s.Settings),
		Sender: s.socket, Self: self{s}, Reached: s.peerReached, Log: s.Log,
	})
	s.socket.Version, s.socket.SeenVersion = s.contracts.Version, s.versionSeen
	s.socket.Notice = func(n quarantine.Notice) { s.suspects.Receive(time.Now(), n) }
	s.handle()
	return nil
}

// listen binds the listeners.
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
			MaxConnections: int(callerShare * float64(s.Settings.Runtime.Descriptors)),
		}},
		{&s.peers, httpserver.Options{Name: "peers", Addr: s.Settings.Listen.Peers, MaxHeaderBytes: httpserver.PeerHeaderBytes}},
		{&s.registration, httpserver.Options{Name: "registration", Addr: s.Settings.Listen.Registration, MaxHeaderBytes: httpserver.CallerHeaderBytes, Short: true}},
		{&s.ready, httpserver.Options{Name: "ready", Addr: s.Settings.Listen.Ready, MaxHeaderBytes: httpserver.CallerHeaderBytes, Short: true}},
		{&s.metricsServer, httpserver.Options{Name: "metrics", Addr: s.Settings.Listen.Metrics, MaxHeaderBytes: httpserver.CallerHeaderBytes, Short: true}},
	} {
		l.options.Log = s.Log
		if *l.server, err = httpserver.Listen(l.options); err != nil {
			return fmt.Errorf("listener %s: %w", l.options.Name, err)
		}
	}
	return nil
}

// handle sets what answers at each listener.
func (s *Sidecar) handle() {
	dispatcher := entry.New(entry.Entry{
		Service: s.Settings.Upstream.Service, Roster: s.roster, Forward: &forwarder{self: s.boot, gate: s.gate, remote: s.remote},
		Budgets: caller.NewEmptyBudgets(s.savedRetries), RetryRatio: s.retryRatio, Suspects: s.suspects, Log: s.Log,
	})
	s.callers.Handle(s.counted(&entryhttp.Handler{
		Contracts: s.contracts, Splits: contract.NewSplits(), Dispatcher: dispatcher, Dialect: s.Platform.Dialect,
		Origin: s.Settings.Upstream.Service,
	}))
	routes := &httpserver.Routes{}
	routes.Handle(peerhttp.ForwardPrefix+"/", &peerhttp.Server{Home: s.gate})
	routes.Handle(contractsPath, http.HandlerFunc(s.serveContracts))
	s.peers.Handle(routes)
	s.registration.Handle(s.Platform.Registration(s.gate))
	s.ready.Handle(s.Platform.Readiness(s.isReady))
	s.metricsServer.Handle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.Write(w) }))
}

// counted counts the requests of callers in flight, and refuses those that come too late to be finished before the node
// ends.
func (s *Sidecar) counted(next *entryhttp.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			next.Refuse(w, caller.Refuse(caller.Draining, "accept", s.Settings.Node))
			return
		}
		defer s.requests.Begin()()
		next.ServeHTTP(w, r)
	})
}

// savedRetries returns how many retries a service may save at this node: its share of half of the allowance.
func (s *Sidecar) savedRetries() float64 {
	return s.retries.Load().Allowance * retryShare / float64(max(1, s.roster.Len()))
}

// retryRatio returns the retries that a request earns for its service.
func (s *Sidecar) retryRatio() float64 { return s.retries.Load().Ratio * retryShare }

func routingOf(s Settings) peer.Routing {
	return peer.Routing{FreshFor: time.Duration(s.Routing.FreshFor), ZoneCost: time.Duration(s.Routing.ZoneCost)}
}

// CallerAddr returns the bound address of the callers' listener.
func (s *Sidecar) CallerAddr() string { return s.callers.Addr() }

// PeerAddr returns the bound address of the listener for other nodes.
func (s *Sidecar) PeerAddr() string { return s.peers.Addr() }

// DatagramAddr returns the bound address of messages between nodes.
func (s *Sidecar) DatagramAddr() netip.AddrPort { return s.socket.Addr() }

// Meet takes the datagram address of a node that may be there, beside those that the store tells.
func (s *Sidecar) Meet(addr netip.AddrPort) { s.roster.Learn(addr) }

// ReadyAddr returns the bound address at which the platform asks whether the node is ready.
func (s *Sidecar) ReadyAddr() string { return s.ready.Addr() }

// MetricsAddr returns the bound address of the metrics.
func (s *Sidecar) MetricsAddr() string { return s.metricsServer.Addr() }

func (s *Sidecar) isReady() bool { return !s.stopping.Load() && s.contracts.Load() != nil }

func (s *Sidecar) healthPath(service string) string {
	if c := s.contracts.Load(); c != nil {
		return c.Services[service].HealthPath
	}
	return ""
}

// Spread implements quarantine.Spreader.
func (s *Sidecar) Spread(n quarantine.Notice) {
	s.Log.Warn("requests that were in flight when an upstream ended", "kind", int(n.Kind), "fingerprints", len(n.Fingerprints), "crashes", len(n.Crashes))
	s.socket.Tell(s.roster.Addresses(maxTold), n)
}

// maxTold bounds the nodes to which a notice is sent.
const maxTold = 256

// self is the node as the others see it.
type self struct{ *Sidecar }

// Status implements peer.Self.
func (s self) Status() peer.Status {
	status := s.gate.Status()
	status.Follows = s.follows.Load()
	return status
}

// Load implements peer.Self.
func (s self) Load(now time.Time) peer.Load { return s.gate.Load(now) }

// Recall implements peer.Self.
func (s self) Recall(former peer.Former) { s.gate.Recall(former) }

// forwarder serves requests for the node's own upstream in process and sends all others to their node.
type forwarder struct {
	self   uint64 // boot of this node
	gate   *gate.Gate
	remote entry.Forwarder
}

// servers returns the listeners.
func (s *Sidecar) servers() []*httpserver.Server {
	return []*httpserver.Server{s.callers, s.peers, s.registration, s.ready, s.metricsServer}
}

// Run serves until ctx ends and then stops gracefully. It returns nil after a graceful stop, else the error of a
// listener or of a stop that took too long. reload tells of a change of the settings file.
func (s *Sidecar) Run(ctx context.Context, reload <-chan struct{}, load func() (Settings, error)) error {
	failed := make(chan error, len(s.servers())+1)
	for _, server := range s.servers() {
		go func() {
			if err := server.Serve(); err != nil {
				failed <- fmt.Errorf("listener %s: %w", server.Name(), err)
			}
		}()
	}
	// Background work goes on through the stop: requests in flight need the roster.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		if err := s.socket.Serve(background, s.roster); err != nil {
			failed <- fmt.Errorf("listener datagrams: %w", err)
		}
	}()
	go s.roster.Run(background)
	go s.gate.Watch(background)
	s.followStore(background)
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
