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

// leaveTimeout bounds the time for telling the peers that this node leaves.
const leaveTimeout = 2 * time.Second

// control is the node's part in the fleet beside the path of calls: its membership, the bundle it has
// in force and the idempotency keys it keeps.
type control struct {
	fleet       *instance.Fleet
	membership  *datacentre.Membership
	messenger   *peerrpc.MembershipMessenger
	watchRole   *borderWatchRole
	distributor *bundle.Distributor
	keeper      *idempotency.Keeper
	keys        *idempotency.Client
	feed        *KeeperFeed
	peers       *transport.ControlClient

	superseded chan instance.Record
	cancel     context.CancelFunc
	group      sync.WaitGroup
}

// newControl builds the parts of a provisioned node and mounts their handlers. Nothing is sent before
// start.
func newControl(n *Node, routes *httpserver.Routes) (*control, error) {
	s, self := n.Settings, n.record()
	trust, err := bundle.ReadTrust(s.TrustedKeys)
	if err != nil {
		return nil, err
	}
	held := store.NewClient(storeOf(s.Store.Endpoints), 0, 0)
	c := &control{
		fleet: n.fleet, messenger: peerrpc.NewMembershipMessenger(nil), peers: transport.NewControlClient(),
		superseded: make(chan instance.Record, 1),
	}
	c.membership = datacentre.New(datacentre.Config{
		Self: self, Fleet: n.fleet, Messenger: c.messenger, Store: held, Seeds: s.Seeds,
		BundleVersion: func() uint64 { return versionOf(n.Bundles) },
		OnVersion:     c.versionSeen,
		OnSuperseded: func(successor instance.Record) {
			select {
			case c.superseded <- successor:
			default:
			}
		},
	})
	c.watchRole = newBorderWatchRole(c.membership)
	c.distributor = bundle.NewDistributor(bundle.Config{
		Trust: trust, InForce: n.Bundles, Store: held, Log: n.Log,
		Broadcast: c.membership, WatchRole: c.watchRole,
		Peers: fleetPeers{n.fleet, self.ID}, Client: peerrpc.NewBundleClient(c.peers),
	})
	c.membership.Handle(bundle.Topic, func(_ instance.ID, payload []byte) { c.distributor.Received(payload) })
	messages := peerrpc.NewIdempotencyPeers(c.peers)
	c.keeper = idempotency.NewKeeper(idempotency.Identity{ID: string(self.ID), Incarnation: self.Incarnation}, held, messages)
	c.keys = idempotency.NewClient(c.keeper, held, messages)
	c.feed = &KeeperFeed{Self: self.ID, Fleet: n.fleet, Bundles: n.Bundles, Keeper: c.keeper}
	routes.HandleControl(peerrpc.NewMembershipHandler(c.membership))
	routes.HandleControl(peerrpc.NewBundleHandler(c.distributor))
	routes.HandleControl(peerrpc.NewProbeHandler(NewMeasurement(n.home)))
	routes.HandleControl(peerrpc.NewIdempotencyHandler(c.keeper))
	return c, nil
}

// storeOf returns the store behind the endpoints, which are replicas of one service.
func storeOf(endpoints []string) store.Store {
	replicas := make([]store.Store, len(endpoints))
	for i, endpoint := range endpoints {
		replicas[i] = kvhttp.NewClient(endpoint, kvhttp.DefaultTimeout)
	}
	return newReplicas(replicas)
}

func versionOf(bundles *bundle.InForce) uint64 {
	if held := bundles.Load(); held != nil {
		return held.Version
	}
	return 0
}

// addrOf returns the peer address of the instance, or "" when it is not known.
func (c *control) addrOf(id instance.ID) string {
	record, _ := c.fleet.Get(id)
	return record.PeerAddr
}

func (c *control) versionSeen(version uint64, peer instance.ID) {
	c.distributor.Seen(version, c.addrOf(peer))
}

// start takes part in the fleet until stop. The peers' listener must serve by then.
func (c *control) start(log *slog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group.Go(func() {
		if err := c.membership.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			log.Error("membership ended", "err", err)
		}
	})
	c.group.Go(func() { c.watchRole.follow(c.fleet, ctx.Done()) })
	c.group.Go(func() { c.distributor.Run(ctx) })
	c.group.Go(func() { c.feed.Run(ctx) })
}

// stop hands over what the node holds, tells the peers that it leaves, and ends its part.
func (c *control) stop(ctx context.Context) {
	c.keys.Drain(ctx)
	c.keeper.Stop(ctx)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	c.membership.Leave(leaving)
	c.cancel()
	c.group.Wait()
}

// close drops the idle connections.
func (c *control) close() {
	if c.cancel != nil {
		c.cancel()
		c.group.Wait()
	}
	c.messenger.Close()
	c.peers.Close()
}
