package datacentre

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	joinTimeout   = time.Second
	joinFirstWait = time.Second
	joinMaxWait   = 10 * time.Second
	// settleLimit is how long a node waits for the table of a settled peer. Nodes that all paused at
	// once, with nobody else left, would otherwise wait for each other for ever.
	settleLimit = 10 * time.Second
	// joinAttempts bounds the peers that one attempt to join tries.
	joinAttempts = 6
)

// join takes the table of a peer found by the contacts in the store or the seeds. Without any peer
// the node is the first one; it goes on looking.
func (m *Membership) join(ctx context.Context) {
	if !m.joining.CompareAndSwap(false, true) {
		return
	}
	defer m.joining.Store(false)
	m.settle(ctx, m.entryPoints(ctx))
}

// settle takes the table of the first peer that answers and announces this node to the others.
func (m *Membership) settle(ctx context.Context, addrs []string) {
	for _, addr := range addrs[:min(len(addrs), joinAttempts)] {
		if m.takeTable(ctx, addr) {
			break
		}
	}
	if m.settled.Load() || m.isAlone() {
		m.settled.Store(true)
		m.outbox.addRecord(m.Self(), m.config.Self.ID)
	}
}

// takeTable pulls all data centres from the node at addr and reports whether it had a table.
func (m *Membership) takeTable(ctx context.Context, addr string) bool {
	response, err := m.syncWith(ctx, addr, joinTimeout)
	if err != nil || len(response.Digests) == 0 {
		return false
	}
	for name := range m.differing(response) {
		if m.pull(ctx, addr, name) != nil {
			return false
		}
	}
	m.settled.Store(true)
	return true
}

// isAlone reports whether this node knows no other live instance.
func (m *Membership) isAlone() bool {
	for _, name := range m.fleet.DataCentres() {
		for _, r := range m.fleet.DataCentre(name) {
			if r.ID != m.config.Self.ID {
				return false
			}
		}
	}
	return true
}

// rejoin repeats the attempt to join, with growing jittered waits, while the node is alone or has
// not settled.
func (t *ticker) rejoin(now time.Time) {
	alone := t.m.isAlone()
	if t.m.settled.Load() {
		t.lastSettled = now
	}
	if !alone && now.Sub(t.lastSettled) > settleLimit {
		t.m.settled.Store(true)
	}
	if t.m.settled.Load() && !alone {
		t.joinWait = joinFirstWait
		return
	}
	if now.Before(t.nextJoin) {
		return
	}
	t.nextJoin = now.Add(t.joinWait/2 + rand.N(t.joinWait))
	t.joinWait = min(2*t.joinWait, joinMaxWait)
	if alone {
		t.m.workers.start(t.m.join)
		return
	}
	t.m.workers.start(func(ctx context.Context) { t.m.settle(ctx, t.m.knownAddresses()) })
}

// knownAddresses returns the addresses of other live instances, those of the own data centre first.
func (m *Membership) knownAddresses() []string {
	peers := shuffle(m.home.Successors(m.config.Self.ID, len(m.home.Ring())))
	for _, name := range m.otherCentres() {
		peers = append(peers, m.centre(name).Borders()...)
	}
	return addresses(peers)
}

// entryPoints returns the addresses by which the node may join: contacts of its own data centre,
// then other contacts and seeds.
func (m *Membership) entryPoints(ctx context.Context) []string {
	contacts := m.contacts(ctx)
	var near, far []string
	for addr, name := range contacts {
		if name == m.home.Name {
			near = append(near, addr)
			continue
		}
		far = append(far, addr)
	}
	for _, addr := range m.config.Seeds {
		if _, listed := contacts[addr]; !listed {
			far = append(far, addr)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return slices.DeleteFunc(append(near, far...), func(addr string) bool { return addr == m.config.Self.PeerAddr })
}

func addresses(peers []instance.Record) []string {
	addrs := make([]string, len(peers))
	for i, r := range peers {
		addrs[i] = r.PeerAddr
	}
	return addrs
}

// Settle declares the table in the fleet as complete, so that the node takes part without joining.
// It is for fleets whose records are already known.
func (m *Membership) Settle() { m.settled.Store(true) }
