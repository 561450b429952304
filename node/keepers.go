package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// fleetChangeDelay is the delay between a change of the fleet and the update of the keeper, so that one
	// update covers many changes.
	fleetChangeDelay = 100 * time.Millisecond
	// maxKeysPerService and maxAnswersPerService bound a key table to about 40 MB of keys and 16 MB of
	// stored responses, half of the memory that a node may use for the control plane.
	maxKeysPerService    = 200_000
	maxAnswersPerService = 16 << 20 // bytes
	defaultKeyLifetime   = 10 * time.Minute
)

// KeeperUpdater updates the idempotency keeper with the nodes beside upstreams of the same service as this
// node's upstream, as long as the service has at-most-once routes.
type KeeperUpdater struct {
	Self    instance.ID
	Fleet   *instance.Fleet
	Bundles *bundle.Current
	Keeper  *idempotency.Keeper
}

// Run updates the keeper after changes of the fleet and of the bundle, until ctx ends.
func (f *KeeperUpdater) Run(ctx context.Context) {
	changes, cancel := f.Fleet.Subscribe()
	defer cancel()
	timer := time.NewTimer(fleetChangeDelay)
	defer timer.Stop()
	service := ""
	for {
		bundleChanged := f.Bundles.Changed()
		select {
		case <-ctx.Done():
			return
		case <-bundleChanged:
			timer.Reset(fleetChangeDelay)
		case record := <-changes:
			if record.ID == f.Self || record.Service == service {
				timer.Reset(fleetChangeDelay)
			}
		case <-timer.C:
			service = f.update()
		}
	}
}

// update passes the current fleet to the keeper and returns the service of this node's upstream.
func (f *KeeperUpdater) update() string {
	self, ok := f.Fleet.Get(f.Self)
	current := f.Bundles.Load()
	if !ok || current == nil || self.Service == "" {
		return self.Service
	}
	contract, ok := current.Contracts[self.Service]
	if !ok || !hasAtMostOnce(contract) {
		return self.Service
	}
	f.Keeper.Update(self.Service, keeperSetting(contract), f.peers(self.Service))
	return self.Service
}

// peers returns the nodes of the service and the members of its keeper group, whatever service those have now.
func (f *KeeperUpdater) peers(service string) []idempotency.Peer {
	members := map[string]bool{}
	if record := f.Keeper.GroupInfo(idempotency.GroupInfoRequest{Service: service}); record != nil {
		for _, m := range record.Members {
			members[m.ID] = true
		}
	}
	var peers []idempotency.Peer
	for _, r := range f.Fleet.Select(func(r instance.Record) bool { return r.Service == service || members[string(r.ID)] }) {
		peers = append(peers, idempotency.Peer{
			Identity: idempotency.Identity{ID: string(r.ID), Incarnation: r.Incarnation},
			Addr:     r.PeerAddr, DataCentre: r.DataCentre, Region: r.Region,
			Serves: r.Service == service && r.State.Serves(), Gone: r.State.Gone(),
		})
	}
	return peers
}

func hasAtMostOnce(contract *bundle.Contract) bool {
	for _, route := range contract.Routes {
		if route.Rule == bundle.AtMostOnce {
			return true
		}
	}
	return false
}

// keeperSetting returns the settings of the keeper for the contract, with defaults for what it does not set.
func keeperSetting(contract *bundle.Contract) idempotency.ServiceConfig {
	config := idempotency.DefaultConfig()
	if contract.StoreOutage > 0 {
		config.StoreOutage = contract.StoreOutage
	}
	if contract.ClockMargin > 0 {
		config.Margin = contract.ClockMargin
	}
	lifetime := contract.KeyLifetime
	if lifetime <= 0 {
		lifetime = defaultKeyLifetime
	}
	return idempotency.ServiceConfig{Config: config, Bounds: idempotency.Bounds{
		Keys: maxKeysPerService, AnswerBytes: maxAnswersPerService, Lifetime: lifetime, Margin: config.Margin,
	}}
}
