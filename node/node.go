package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/transport/callerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/transport/localhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
	"github.com/magnoliawharf/magnoliawharf/upstream"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// finalAnswerTimeout is the part of the stop timeout in which callers are answered whose requests are still in flight.
	finalAnswerTimeout = 500 * time.Millisecond
	// maxFinalAnswerPart bounds finalAnswerTimeout to one part in so many of a short stop timeout.
	maxFinalAnswerPart = 4
)

// Node is one magnoliawharf process: the listeners and the objects that handle their requests. Its methods
// Provision, Validate, Run and Cleanup are called in this order, each once.
type Node struct {
	Settings settings.Settings
	Log      *slog.Logger    // nil logs nothing
	Bundles  *bundle.Current // nil: Provision creates one

	fleet          *instance.Fleet
	self           *LocalInstance
	proxy          *UpstreamProxy
	controlPlane   *controlPlane
	peerClient     *peerhttp.Client
	upstreamClient *upstreamhttp.Client
	callers        *httpserver.Server
	peers          *httpserver.Server
	local          *httpserver.Server
	stopping       atomic.Bool
}

// Provision builds the node and binds its listeners, without serving yet. Cleanup must be called
// afterwards, also after an error. The error is that of a listener or of a trusted key (bundle.ErrNoKey,
// bundle.ErrKeyFile).
func (n *Node) Provision() error {
	if n.Log == nil {
		n.Log = slog.New(slog.DiscardHandler)
	}
	n.Log = n.Log.With("node", n.Settings.ID)
	if n.Bundles == nil {
		n.Bundles = bundle.NewCurrent()
	}
	n.fleet = instance.NewFleet()
	n.peerClient = peerhttp.NewClient(instance.ID(n.Settings.ID), n.versionSeen)
	n.upstreamClient = upstreamhttp.NewClient()
	if err := n.listen(); err != nil {
		return err
	}
	up := upstream.New()
	n.proxy = &UpstreamProxy{
		ID: n.Settings.ID, Incarnation: uint64(time.Now().UnixNano()),
		Bundles: n.Bundles, Upstream: up, Client: n.upstreamClient,
	}
	routes := &httpserver.Routes{}
	forwarded := &peerhttp.Server{
		Proxy: n.proxy, Version: func() uint64 { return versionOf(n.Bundles) }, OnVersion: n.versionSeen,
	}
	routes.Handle(peerhttp.ForwardPrefix+"/", forwarded)
	routes.Handle(peerhttp.CancelPath, forwarded)
	var err error
	if n.controlPlane, err = newControlPlane(n, routes); err != nil {
		return err
	}
	n.self = NewLocalInstance(up, n.Log, n.controlPlane.membership)
	n.setUpQuarantine()
	n.callers.Handle(httpserver.LimitBody(n.newEntryHandler(), int64(n.Settings.Limits.MaxRequestBody)))
	n.peers.Handle(routes)
	n.local.Handle(localhttp.New(n, n.self))
	return nil
}

// versionSeen fetches the bundle of a peer that has a newer version.
func (n *Node) versionSeen(version uint64, peer instance.ID) {
	if version > versionOf(n.Bundles) {
		n.controlPlane.versionSeen(version, peer)
	}
}

// listen binds the listeners.
func (n *Node) listen() (err error) {
	for _, l := range []struct {
		server  **httpserver.Server
		options httpserver.Options
	}{
		{&n.callers, httpserver.Options{
			Name: "callers", Addr: n.Settings.Listen.Callers, MaxHeaderBytes: httpserver.CallerHeaderBytes,
			MaxConnections: n.Settings.Limits.MaxConnections,
		}},
		{&n.peers, httpserver.Options{
			Name: "peers", Addr: n.Settings.Listen.Peers, MaxHeaderBytes: httpserver.PeerHeaderBytes,
		}},
		{&n.local, httpserver.Options{
			Name: "local", Addr: n.Settings.Listen.Local, MaxHeaderBytes: httpserver.CallerHeaderBytes, ControlTimeouts: true,
		}},
	} {
		l.options.Log = n.Log
		if *l.server, err = httpserver.Listen(l.options); err != nil {
			return fmt.Errorf("listener %s: %w; choose another listen.%s", l.options.Name, err, l.options.Name)
		}
	}
	return nil
}

// newEntryHandler returns the handler of callers' requests: quarantine, idempotency keys, then dispatch.
func (n *Node) newEntryHandler() *callerhttp.Handler {
	dispatcher := &Dispatcher{
		Links: link.NewTable(n.fleet, link.WithDataCentre(n.Settings.DataCentre), link.WithOwnInstance(instance.ID(n.Settings.ID))), Bundles: n.Bundles, Budgets: caller.NewRetryBudgets(),
		Forward: &LocalForwarder{Proxy: n.proxy, Remote: n.peerClient},
		Prober:  link.NewProber(peerrpc.NewProbeClient(n.controlPlane.controlClient)),
	}
	protector := &AtMostOnceDispatcher{Bundles: n.Bundles, Keys: n.controlPlane.keys, Next: dispatcher}
	return &callerhttp.Handler{Bundles: n.Bundles, Dispatcher: &QuarantineDispatcher{Suspects: n.proxy.CrashMonitor.Suspects, Next: protector}}
}

// setUpQuarantine starts the detection of crashes and the exchange of quarantine notices with all other nodes.
func (n *Node) setUpQuarantine() {
	incarnation := fmt.Sprintf("%s-%x", n.Settings.ID, n.proxy.Incarnation)
	broadcaster := peerrpc.NewQuarantineNotifier(n.controlPlane.membership, incarnation)
	suspects := quarantine.NewList(broadcaster)
	broadcaster.Subscribe(suspects)
	n.proxy.CrashMonitor = &quarantine.CrashMonitor{Suspects: suspects, Detector: quarantine.NewCrashDetector(suspects, incarnation)}
	n.self.SetProcessObserver(n.proxy.CrashMonitor.Detector)
}

// record returns the record of this node's instance, before its upstream has announced itself.
func (n *Node) record() instance.Record {
	return instance.Record{
		ID: instance.ID(n.Settings.ID), Incarnation: n.proxy.Incarnation,
		DataCentre: n.Settings.DataCentre, Region: n.Settings.Region,
		CallerAddr: advertisedOrBound(n.Settings.Advertise.Callers, n.callers),
		PeerAddr:   advertisedOrBound(n.Settings.Advertise.Peers, n.peers),
	}
}

// advertisedOrBound returns the advertised address, or the bound one when none is set.
func advertisedOrBound(advertised string, bound *httpserver.Server) string {
	if advertised != "" {
		return advertised
	}
	return bound.Addr()
}

// Validate checks the settings, and that no advertised address has an unspecified IP address. It is called
// after Provision. The error holds a *settings.Error for each fault.
func (n *Node) Validate() error {
	if err := settings.Check("settings", n.Settings); err != nil {
		return err
	}
	record := n.record()
	for key, address := range map[string]string{"advertise.callers": record.CallerAddr, "advertise.peers": record.PeerAddr} {
		host, _, err := net.SplitHostPort(address)
		if ip := net.ParseIP(host); err != nil || (ip != nil && ip.IsUnspecified()) {
			return &settings.Error{File: "settings", Key: key, Value: address, Message: "is required when the listen address names no IP address"}
		}
	}
	return nil
}

// Run serves until ctx ends and then stops gracefully: requests in flight are aborted only when the stop
// takes longer than the stop timeout in the settings. It returns nil after a graceful stop, else the error
// of a listener, of a stop that timed out, or of another instance that was started with the same ID.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 3)
	for _, server := range n.servers() {
		go func() {
			if err := server.Serve(); err != nil {
				failed <- fmt.Errorf("listener %s: %w", server.Name(), err)
			}
		}()
	}
	n.controlPlane.start(n.Log)
	n.Log.Info("node started", "callers", n.callers.Addr(), "peers", n.peers.Addr(), "local", n.local.Addr())
	select {
	case <-ctx.Done():
		return n.stop()
	case err := <-failed:
		return errors.Join(err, n.stop())
	case successor := <-n.controlPlane.superseded:
		err := fmt.Errorf("another instance with the id %s was started at %s; each instance needs a unique id", n.Settings.ID, successor.PeerAddr)
		return errors.Join(err, n.stop())
	}
}

// stop drains the node and closes its listeners within the stop timeout.
func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.Settings.Runtime.StopTimeout))
	defer cancel()
	n.Log.Info("stopping node", "timeout", time.Duration(n.Settings.Runtime.StopTimeout))
	n.stopping.Store(true)
	n.self.Stop(time.Now())
	n.callers.Drain()
	wait.For(ctx, time.Duration(n.Settings.Runtime.DrainNotice))
	err := n.finishRequests(ctx)
	n.controlPlane.stop(ctx)
	err = errors.Join(err, n.peers.Shutdown(ctx), n.local.Shutdown(ctx))
	if err != nil {
		return fmt.Errorf("requests were still in flight at the end of stop_timeout: %w", err)
	}
	n.Log.Info("node stopped")
	return nil
}

// finishRequests closes the callers' listener and waits for the requests in flight. Callers' requests that outlast the wait
// are cancelled before ctx ends, so that they are answered: a connection that closes without an answer doesn't tell the caller
// whether its request was read.
func (n *Node) finishRequests(ctx context.Context) error {
	timeout := time.Duration(n.Settings.Runtime.StopTimeout)
	end, _ := ctx.Deadline()
	waiting, cancel := context.WithDeadline(ctx, end.Add(-min(finalAnswerTimeout, timeout/maxFinalAnswerPart)))
	defer cancel()
	err := n.proxy.Idle(waiting)
	err = errors.Join(err, n.callers.Shutdown(waiting))
	if err == nil {
		return nil
	}
	n.callers.CancelRequests(caller.Refuse(caller.Draining, "stop", n.Settings.ID))
	return errors.Join(err, n.callers.Shutdown(ctx))
}

// servers returns the listeners.
func (n *Node) servers() []*httpserver.Server {
	return []*httpserver.Server{n.callers, n.peers, n.local}
}

// Cleanup releases the resources of Provision, after Run has returned. The error joins those of the listeners.
func (n *Node) Cleanup() error {
	var err error
	for _, server := range n.servers() {
		if server != nil {
			err = errors.Join(err, server.Close())
		}
	}
	if n.controlPlane != nil {
		n.controlPlane.close()
	}
	if n.peerClient != nil {
		n.peerClient.Close()
		n.upstreamClient.Close()
	}
	return err
}

// Announce receives an announcement of the upstream beside the node, for upstreams in the same process. It
// must be repeated within the announcement's time to live.
func (n *Node) Announce(now time.Time, a upstream.Announcement) { n.self.Announce(now, a) }

// Fleet returns the node's view of all instances.
func (n *Node) Fleet() *instance.Fleet { return n.fleet }

// CallerAddr returns the bound address of the callers' listener.
func (n *Node) CallerAddr() string { return n.callers.Addr() }

// PeerAddr returns the bound address of the nodes' listener.
func (n *Node) PeerAddr() string { return n.peers.Addr() }

// LocalAddr returns the bound address of the local listener.
func (n *Node) LocalAddr() string { return n.local.Addr() }

// NotReady returns why the node is not ready, "" when it is. It implements localhttp.State.
func (n *Node) NotReady() string {
	if n.stopping.Load() {
		return "the node is stopping"
	}
	if n.Bundles.Load() == nil {
		return "no bundle is in force yet"
	}
	return ""
}

// WriteMetrics implements localhttp.State. The counters are those of the process, the gauges after them
// those of this node.
func (n *Node) WriteMetrics(w io.Writer) {
	metrics.Write(w)
	counts := make(map[instance.State]int)
	for _, r := range n.fleet.Select(func(instance.Record) bool { return true }) {
		counts[r.State]++
	}
	for state := instance.Unannounced; state.Valid(); state++ {
		fmt.Fprintf(w, "magnoliawharf_instances{state=%q} %d\n", state, counts[state])
	}
	fmt.Fprintf(w, "magnoliawharf_bundle_version %d\n", versionOf(n.Bundles))
}
