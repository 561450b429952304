package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// leaveTimeout bounds the time for notifying the peers that this node leaves the fleet.
const leaveTimeout = 2 * time.Second

// controlPlane runs the tasks of a node outside the path of calls: membership of the fleet, distribution of
// bundles, and storage of idempotency keys.
type controlPlane struct {
	fleet         *instance.Fleet
	membership    *datacentre.Membership
	messenger     *peerrpc.MembershipMessenger
	borderWatch   *borderWatchRole
	distributor   *bundle.Distributor
	keeper        *idempotency.Keeper
	keys          *idempotency.Client
	keeperFeed    *KeeperUpdater
	controlClient *transport.ControlClient

	superseded chan instance.Record // receives a newer incarnation of this instance
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// newControlPlane creates the control plane of a provisioned node and adds its handlers to routes. Nothing is
// sent before start.
func newControlPlane(n *Node, routes *httpserver.Routes) (*controlPlane, error) {
	s, self := n.Settings, n.record()
	trust, err := bundle.ReadTrustedKeys(s.TrustedKeys)
	if err != nil {
		return nil, err
	}
	storeClient := store.NewClient(newEndpointStore(s.Store.Endpoints), 0, 0)
	c := &controlPlane{
		fleet: n.fleet, messenger: peerrpc.NewMembershipMessenger(nil), controlClient: transport.NewControlClient(),
		superseded: make(chan instance.Record, 1),
	}
	c.membership = datacentre.New(datacentre.Config{
		Self: self, Fleet: n.fleet, Messenger: c.messenger, Store: storeClient, Seeds: s.Seeds,
		BundleVersion: func() uint64 { return versionOf(n.Bundles) },
		OnNewerBundle: c.versionSeen,
		OnSuperseded: func(successor instance.Record) {
			select {
			case c.superseded <- successor:
			default:
			}
		},
	})
	c.borderWatch = newBorderWatchRole(c.membership)
	c.distributor = bundle.NewDistributor(bundle.Config{
		TrustedKeys: trust, Current: n.Bundles, Store: storeClient, Log: n.Log,
		Broadcast: c.membership, WatchRole: c.borderWatch,
		Peers: fleetPeers{n.fleet, self.ID}, Client: peerrpc.NewBundleClient(c.controlClient),
	})
	c.membership.Handle(bundle.Topic, func(_ instance.ID, payload []byte) { c.distributor.HandleBroadcast(payload) })
	messages := peerrpc.NewIdempotencyClient(c.controlClient)
	c.keeper = idempotency.NewKeeper(idempotency.Identity{ID: string(self.ID), Incarnation: self.Incarnation}, storeClient, messages)
	c.keys = idempotency.NewClient(c.keeper, storeClient, messages)
	c.keeperFeed = &KeeperUpdater{Self: self.ID, Fleet: n.fleet, Bundles: n.Bundles, Keeper: c.keeper}
	routes.HandleControl(peerrpc.NewMembershipHandler(c.membership))
	routes.HandleControl(peerrpc.NewBundleHandler(c.distributor))
	routes.HandleControl(peerrpc.NewProbeHandler(NewProbeResponder(n.proxy)))
	routes.HandleControl(peerrpc.NewIdempotencyHandler(c.keeper))
	return c, nil
}

// newEndpointStore returns a store that uses the endpoints, which are replicas of one service.
func newEndpointStore(endpoints []string) store.Store {
	stores := make([]store.Store, len(endpoints))
	for i, endpoint := range endpoints {
		stores[i] = kvhttp.NewClient(endpoint, kvhttp.DefaultTimeout)
	}
	return newFailoverStore(stores)
}

// versionOf returns the version of the current bundle, 0 when there is none.
func versionOf(bundles *bundle.Current) uint64 {
	if current := bundles.Load(); current != nil {
		return current.Version
	}
	return 0
}

// addrOf returns the peer address of the instance, "" when unknown.
func (c *controlPlane) addrOf(id instance.ID) string {
	record, _ := c.fleet.Get(id)
	return record.PeerAddr
}

// versionSeen tells the distributor that the peer has the given version of the bundle.
func (c *controlPlane) versionSeen(version uint64, peer instance.ID) {
	c.distributor.ObserveVersion(version, c.addrOf(peer))
}

// start joins the fleet and starts the goroutines of the control plane. The peers' listener must be serving.
func (c *controlPlane) start(log *slog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.goroutines.Go(func() {
		if err := c.membership.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			log.Error("membership stopped with an error", "err", err)
		}
	})
	c.goroutines.Go(func() { c.borderWatch.followFleet(c.fleet, ctx.Done()) })
	c.goroutines.Go(func() { c.distributor.Run(ctx) })
	c.goroutines.Go(func() { c.keeperFeed.Run(ctx) })
}

// stop hands over the idempotency keys, notifies the peers that this node leaves, and stops the goroutines.
func (c *controlPlane) stop(ctx context.Context) {
	c.keys.Drain(ctx)
	c.keeper.Stop(ctx)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	c.membership.Leave(leaving)
	c.cancel()
	c.goroutines.Wait()
}

// close stops the goroutines if stop has not, and closes idle connections.
func (c *controlPlane) close() {
	if c.cancel != nil {
		c.cancel()
		c.goroutines.Wait()
	}
	c.messenger.Close()
	c.controlClient.Close()
}
