package datacentre

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	joinTimeout    = time.Second
	minJoinBackoff = time.Second
	maxJoinBackoff = 10 * time.Second
	// initialSyncTimeout is how long a node waits for the table of a synchronised peer. Without it nodes
	// that all paused at once, with no other node left, would wait for each other for ever.
	initialSyncTimeout = 10 * time.Second
	// maxJoinPeers bounds the peers that one attempt to join tries.
	maxJoinPeers = 6
)

// join takes over the table of a peer found by the contacts in the store or the seeds. A node without any
// peer treats itself as the first one and keeps looking for others.
func (m *Membership) join(ctx context.Context) {
	if !m.joining.CompareAndSwap(false, true) {
		return
	}
	defer m.joining.Store(false)
	m.initialSync(ctx, m.joinAddresses(ctx))
}

// initialSync takes over the table of the first peer that answers and announces this node to the others.
func (m *Membership) initialSync(ctx context.Context, addrs []string) {
	for _, addr := range addrs[:min(len(addrs), maxJoinPeers)] {
		if m.pullTable(ctx, addr) {
			break
		}
	}
	if m.synced.Load() || m.isAlone() {
		m.synced.Store(true)
		m.outbox.addRecord(m.Self(), m.config.Self.ID)
	}
}

// pullTable pulls all data centres from the node at addr and reports whether it had a table.
func (m *Membership) pullTable(ctx context.Context, addr string) bool {
	response, err := m.syncWith(ctx, addr, joinTimeout)
	if err != nil || len(response.Digests) == 0 {
		return false
	}
	for name := range m.differing(response) {
		if m.pull(ctx, addr, name) != nil {
			return false
		}
	}
	m.synced.Store(true)
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

// rejoin repeats the attempt to join, with growing jittered delays, while the node is alone or its table
// has not been synchronised.
func (t *ticker) rejoin(now time.Time) {
	alone := t.m.isAlone()
	if t.m.synced.Load() {
		t.lastSynced = now
	}
	if !alone && now.Sub(t.lastSynced) > initialSyncTimeout {
		t.m.synced.Store(true)
	}
	if t.m.synced.Load() && !alone {
		t.joinBackoff = minJoinBackoff
		return
	}
	if now.Before(t.nextJoin) {
		return
	}
	t.nextJoin = now.Add(t.joinBackoff/2 + rand.N(t.joinBackoff))
	t.joinBackoff = min(2*t.joinBackoff, maxJoinBackoff)
	if alone {
		t.m.workers.start(t.m.join)
		return
	}
	t.m.workers.start(func(ctx context.Context) { t.m.initialSync(ctx, t.m.knownAddresses()) })
}

// knownAddresses returns the addresses of other live instances, those of the own data centre first.
func (m *Membership) knownAddresses() []string {
	peers := shuffle(m.local.Successors(m.config.Self.ID, len(m.local.Ring())))
	for _, name := range m.otherDataCentres() {
		peers = append(peers, m.dataCentre(name).BorderNodes()...)
	}
	return addresses(peers)
}

// joinAddresses returns the addresses through which the node may join: contacts of its own data centre,
// then other contacts and seeds.
func (m *Membership) joinAddresses(ctx context.Context) []string {
	contacts := m.listContacts(ctx)
	var localAddrs, remoteAddrs []string
	for addr, name := range contacts {
		if name == m.local.Name {
			localAddrs = append(localAddrs, addr)
			continue
		}
		remoteAddrs = append(remoteAddrs, addr)
	}
	for _, addr := range m.config.Seeds {
		if _, listed := contacts[addr]; !listed {
			remoteAddrs = append(remoteAddrs, addr)
		}
	}
	rand.Shuffle(len(localAddrs), func(i, j int) { localAddrs[i], localAddrs[j] = localAddrs[j], localAddrs[i] })
	rand.Shuffle(len(remoteAddrs), func(i, j int) { remoteAddrs[i], remoteAddrs[j] = remoteAddrs[j], remoteAddrs[i] })
	return slices.DeleteFunc(append(localAddrs, remoteAddrs...), func(addr string) bool { return addr == m.config.Self.PeerAddr })
}

func addresses(peers []instance.Record) []string {
	addrs := make([]string, len(peers))
	for i, r := range peers {
		addrs[i] = r.PeerAddr
	}
	return addrs
}

// MarkSynced marks the table in the fleet as complete, so that the node takes part without joining. It is for
// fleets whose records are already known.
func (m *Membership) MarkSynced() { m.synced.Store(true) }
