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
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/transport/callerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/transport/localhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Node is one magnoliawharf process: the listeners and the objects behind them. Its life is
// Provision, Validate, Run and Cleanup, each once.
type Node struct {
	Settings settings.Settings
	Log      *slog.Logger
	Bundles  *bundle.InForce // nil: Provision makes one
	Fleet    *instance.Fleet // nil: Provision makes one

	self     *Self
	home     *Home
	peerRt   *httpserver.Routes
	callers  *httpserver.Server
	peers    *httpserver.Server
	local    *httpserver.Server
	stopping atomic.Bool
}

// Provision builds the node and binds its listeners. It serves nothing yet. Cleanup must follow,
// also after an error.
func (n *Node) Provision() error {
	if n.Log == nil {
		n.Log = slog.New(slog.DiscardHandler)
	}
	n.Log = n.Log.With("node", n.Settings.ID)
	if n.Bundles == nil {
		n.Bundles = bundle.NewInForce()
	}
	if n.Fleet == nil {
		n.Fleet = instance.NewFleet()
	}
	n.peerRt = &httpserver.Routes{}
	beside := upstream.New()
	n.home = &Home{
		ID: n.Settings.ID, Incarnation: uint64(time.Now().UnixNano()),
		Bundles: n.Bundles, Upstream: beside, Client: upstreamhttp.NewClient(),
	}
	if err := n.listenPeers(); err != nil {
		return err
	}
	if err := n.listenCallers(); err != nil {
		return err
	}
	n.self = NewSelf(beside, n.Log, newFleetOnly(n.Fleet, n.record()))
	return n.listenLocal()
}

func (n *Node) listenPeers() (err error) {
	n.peerRt.Handle(peerhttp.ForwardPrefix+"/", &peerhttp.Server{Home: n.home})
	n.peers, err = httpserver.Listen(httpserver.Options{
		Name: "peers", Addr: n.Settings.Listen.Peers, Handler: n.peerRt,
		MaxHeaderBytes: httpserver.PeerHeaderBytes, Log: n.Log,
	})
	return err
}

func (n *Node) listenCallers() (err error) {
	dispatcher := &Dispatcher{
		Links:   link.NewTable(n.Fleet),
		Forward: &ShortCut{Home: n.home, Remote: peerhttp.NewClient()},
	}
	handler := &callerhttp.Handler{Bundles: n.Bundles, Dispatcher: dispatcher}
	n.callers, err = httpserver.Listen(httpserver.Options{
		Name: "callers", Addr: n.Settings.Listen.Callers,
		Handler:        httpserver.LimitBody(handler, int64(n.Settings.Limits.MaxRequestBody)),
		MaxHeaderBytes: httpserver.CallerHeaderBytes, Log: n.Log,
	})
	return err
}

func (n *Node) listenLocal() (err error) {
	n.local, err = httpserver.Listen(httpserver.Options{
		Name: "local", Addr: n.Settings.Listen.Local, Handler: localhttp.New(n, n.self),
		MaxHeaderBytes: httpserver.CallerHeaderBytes, Log: n.Log,
	})
	return err
}

func (n *Node) record() instance.Record {
	return instance.Record{
		ID: instance.ID(n.Settings.ID), Incarnation: n.home.Incarnation,
		DataCentre: n.Settings.DataCentre, Region: n.Settings.Region,
		CallerAddr: orBound(n.Settings.Advertise.Callers, n.callers),
		PeerAddr:   orBound(n.Settings.Advertise.Peers, n.peers),
	}
}

func orBound(advertised string, bound *httpserver.Server) string {
	if advertised != "" {
		return advertised
	}
	return bound.Addr()
}

// Validate checks that the node can be reached under what it advertises.
func (n *Node) Validate() error {
	if err := settings.Check("settings", n.Settings); err != nil {
		return err
	}
	record := n.record()
	for key, address := range map[string]string{"advertise.callers": record.CallerAddr, "advertise.peers": record.PeerAddr} {
		host, _, err := net.SplitHostPort(address)
		if ip := net.ParseIP(host); err != nil || (ip != nil && ip.IsUnspecified()) {
			return &settings.Error{File: "settings", Key: key, Value: address, Allowed: "is required when the listen address names no IP address"}
		}
	}
	return nil
}

// Run serves until ctx ends and then stops gracefully: no request in flight is cut off unless the
// stop takes longer than the settings allow.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 3)
	for _, server := range n.servers() {
		go func() {
			if err := server.Serve(); err != nil {
				failed <- fmt.Errorf("listener %s: %w", server.Name(), err)
			}
		}()
	}
	n.Log.Info("node serves", "callers", n.callers.Addr(), "peers", n.peers.Addr(), "local", n.local.Addr())
	select {
	case <-ctx.Done():
		return n.stop()
	case err := <-failed:
		return errors.Join(err, n.stop())
	}
}

func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.Settings.Runtime.StopTimeout))
	defer cancel()
	n.Log.Info("node stops", "timeout", time.Duration(n.Settings.Runtime.StopTimeout))
	n.stopping.Store(true)
	n.self.Stop(time.Now())
	n.callers.Drain()
	waitFor(ctx, time.Duration(n.Settings.Runtime.DrainNotice))
	err := n.home.Idle(ctx)
	for _, server := range n.servers() {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	if err != nil {
		return fmt.Errorf("requests were still in flight at the end of stop_timeout: %w", err)
	}
	n.Log.Info("node stopped")
	return nil
}

func waitFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// servers returns the listeners in the order in which a stop closes them.
func (n *Node) servers() []*httpserver.Server {
	return []*httpserver.Server{n.callers, n.peers, n.local}
}

// Cleanup closes what Provision opened.
func (n *Node) Cleanup() error {
	var err error
	for _, server := range n.servers() {
		if server != nil {
			err = errors.Join(err, server.Close())
		}
	}
	return err
}

// Announce takes what the upstream beside the node says of itself, for upstreams in the same process.
func (n *Node) Announce(now time.Time, a upstream.Announcement) { n.self.Announce(now, a) }

// CallerAddr returns the bound address of the callers' listener.
func (n *Node) CallerAddr() string { return n.callers.Addr() }

// PeerAddr returns the bound address of the nodes' listener.
func (n *Node) PeerAddr() string { return n.peers.Addr() }

// LocalAddr returns the bound address of the local listener.
func (n *Node) LocalAddr() string { return n.local.Addr() }

// NotReady implements localhttp.State.
func (n *Node) NotReady() string {
	if n.stopping.Load() {
		return "the node is stopping"
	}
	if n.Bundles.Load() == nil {
		return "no bundle is in force yet"
	}
	return ""
}

// WriteMetrics implements localhttp.State.
func (n *Node) WriteMetrics(w io.Writer) { metrics.Write(w) }
