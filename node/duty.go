package node

import (
	"math/rand/v2"
	"sync"

	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// borderDuty is the duty of border nodes to watch the store. It follows the fleet.
type borderDuty struct {
	membership *datacentre.Membership

	mu      sync.Mutex
	onDuty  bool
	changed chan struct{}
}

// newBorderDuty returns the duty of this node as the membership sees it now.
func newBorderDuty(membership *datacentre.Membership) *borderDuty {
	return &borderDuty{membership: membership, onDuty: membership.IsBorder(), changed: make(chan struct{})}
}

// OnDuty implements bundle.Duty.
func (d *borderDuty) OnDuty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.onDuty
}

// Changed implements bundle.Duty.
func (d *borderDuty) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// check takes over what the membership says now.
func (d *borderDuty) check() {
	now := d.membership.IsBorder()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now == d.onDuty {
		return
	}
	d.onDuty = now
	close(d.changed)
	d.changed = make(chan struct{})
}

// follow checks at each change of the fleet until done is closed.
func (d *borderDuty) follow(fleet *instance.Fleet, done <-chan struct{}) {
	changes, cancel := fleet.Subscribe()
	defer cancel()
	for {
		d.check()
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
