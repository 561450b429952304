package node

import (
	"math/rand/v2"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// borderWatchRole decides whether this node watches the store, which border nodes do. It is updated when the
// fleet changes.
type borderWatchRole struct {
	*bundle.WatchRoleSwitch
	membership *datacentre.Membership
}

// newBorderWatchRole returns the role of this node in the current membership.
func newBorderWatchRole(membership *datacentre.Membership) *borderWatchRole {
	return &borderWatchRole{WatchRoleSwitch: bundle.NewWatchRoleSwitch(membership.IsBorderNode()), membership: membership}
}

// followFleet updates the role after each change of the fleet until done is closed.
func (r *borderWatchRole) followFleet(fleet *instance.Fleet, done <-chan struct{}) {
	changes, cancel := fleet.Subscribe()
	defer cancel()
	for {
		r.Set(r.membership.IsBorderNode())
		select {
		case <-changes:
		case <-done:
			return
		}
	}
}

// fleetPeers selects nodes from which to fetch a bundle.
type fleetPeers struct {
	fleet *instance.Fleet
	self  instance.ID
}

// Sample implements bundle.PeerSampler with a random selection.
func (p fleetPeers) Sample(n int) []string {
	records := p.fleet.Select(func(r instance.Record) bool { return r.ID != p.self && !r.State.Gone() })
	addrs := make([]string, 0, n)
	for _, i := range rand.Perm(len(records))[:min(n, len(records))] {
		addrs = append(addrs, records[i].PeerAddr)
	}
	return addrs
}
