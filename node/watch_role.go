package node

import (
	"math/rand/v2"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// borderWatchRole is the role of border nodes that watch the store. It follows the fleet.
type borderWatchRole struct {
	*bundle.WatchRoleSwitch
	membership *datacentre.Membership
}

// newBorderWatchRole returns the role of this node as the membership sees it now.
func newBorderWatchRole(membership *datacentre.Membership) *borderWatchRole {
	return &borderWatchRole{WatchRoleSwitch: bundle.NewWatchRoleSwitch(membership.IsBorder()), membership: membership}
}

// follow checks at each change of the fleet until done is closed.
func (d *borderWatchRole) follow(fleet *instance.Fleet, done <-chan struct{}) {
	changes, cancel := fleet.Subscribe()
	defer cancel()
	for {
		d.Set(d.membership.IsBorder())
		select {
		case <-changes:
		case <-done:
			return
		}
	}
}

// fleetPeers names nodes to fetch a bundle from.
type fleetPeers struct {
	fleet *instance.Fleet
	self  instance.ID
}

// Some implements bundle.Peers.
func (p fleetPeers) Some(n int) []string {
	records := p.fleet.Select(func(r instance.Record) bool { return r.ID != p.self && !r.State.Gone() })
	addrs := make([]string, 0, n)
	for _, i := range rand.Perm(len(records))[:min(n, len(records))] {
		addrs = append(addrs, records[i].PeerAddr)
	}
	return addrs
}
