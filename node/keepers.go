package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// keeperBatch gathers changes of the fleet before the keeper is told of them.
	keeperBatch = 100 * time.Millisecond
	// maxKeysPerService and maxAnswersPerService bound a key table: about 40 MB of keys and 16 MB of
	// answers, half of the memory a node may use for control.
	maxKeysPerService    = 200_000
	maxAnswersPerService = 16 << 20
	defaultKeyLifetime   = 10 * time.Minute
)

// KeeperFeed tells the keeper which nodes stand beside upstreams of the own upstream's service, as
// long as the service has at-most-once routes.
type KeeperFeed struct {
	Self    instance.ID
	Fleet   *instance.Fleet
	Bundles *bundle.InForce
	Keeper  *idempotency.Keeper
}

// Run feeds the keeper until ctx ends.
func (f *KeeperFeed) Run(ctx context.Context) {
	changes, cancel := f.Fleet.Subscribe()
	defer cancel()
	timer := time.NewTimer(keeperBatch)
	defer timer.Stop()
	service := ""
	for {
		rolled := f.Bundles.Changed()
		select {
		case <-ctx.Done():
			return
		case <-rolled:
			timer.Reset(keeperBatch)
		case record := <-changes:
			if record.ID == f.Self || record.Service == service {
				timer.Reset(keeperBatch)
			}
		case <-timer.C:
			service = f.update()
		}
	}
}

// update tells the keeper of the present fleet and returns the service it is about.
func (f *KeeperFeed) update() string {
	self, ok := f.Fleet.Get(f.Self)
	current := f.Bundles.Load()
	if !ok || current == nil || self.Service == "" {
		return self.Service
	}
	contract, ok := current.Contracts[self.Service]
	if !ok || !hasAtMostOnce(contract) {
		return self.Service
	}
	f.Keeper.Update(self.Service, settingOf(contract), f.peers(self.Service))
	return self.Service
}

// peers returns the nodes of the service and the members of its group, whatever they serve now.
func (f *KeeperFeed) peers(service string) []idempotency.Peer {
	members := map[string]bool{}
	if record := f.Keeper.GroupInfo(idempotency.InfoRequest{Service: service}); record != nil {
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

func settingOf(contract *bundle.Contract) idempotency.Setting {
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
	return idempotency.Setting{Config: config, Bounds: idempotency.Bounds{
		Keys: maxKeysPerService, AnswerBytes: maxAnswersPerService, Lifetime: lifetime, Margin: config.Margin,
	}}
}
