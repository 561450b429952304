package node

import (
	"math/rand/v2"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// borderDuty is the duty of border nodes to watch the store. It follows the fleet.
type borderDuty struct {
	*bundle.DutySwitch
	membership *datacentre.Membership
}

// newBorderDuty returns the duty of this node as the membership sees it now.
func newBorderDuty(membership *datacentre.Membership) *borderDuty {
	return &borderDuty{DutySwitch: bundle.NewDutySwitch(membership.IsBorder()), membership: membership}
}

// follow checks at each change of the fleet until done is closed.
func (d *borderDuty) follow(fleet *instance.Fleet, done <-chan struct{}) {
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
