package datacentre

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// minRemoteSyncInterval is the least time between two Syncs of a border node with other data centres.
	// With 16 other data centres, any two are compared by four border nodes, each every 16 s. Half the
	// interval cost an idle border node 4.2 KB/s, which left too little bandwidth for releases.
	minRemoteSyncInterval = time.Second
	// minDataCentreSyncInterval is the least time between two Syncs with the same data centre.
	minDataCentreSyncInterval = 2 * time.Second
	// remoteSyncTimeout allows for the latency between distant regions.
	remoteSyncTimeout = time.Second
	// staleContactAge is the age of the last contact from which a node asks its peers for a later one. In
	// normal operation it asks once in that time, so that the list costs nothing.
	staleContactAge = 10 * time.Minute
	// contactAgeIncrement is added to an age at each hop, for the transit time of the message and the
	// rounding to seconds. Without it the age of an unreachable data centre would never grow as nodes
	// pass it on.
	contactAgeIncrement = 2 * time.Second
	// unreachableRetention is how long the members of an unreachable data centre are kept.
	unreachableRetention = time.Hour
	// unknownContactGrace is how long a data centre is kept when no peer has reported its last contact.
	unknownContactGrace = 5 * time.Minute
	// maxReadmitAge is the largest age of a contact that readmits an evicted data centre. It is well below
	// unreachableRetention, so that nodes that evict it at different moments do not return it to each
	// other.
	maxReadmitAge = 20 * time.Minute
	// recentChangeAge and maxRecentChanges bound the changes that a new border node repeats to the other
	// data centres, in case the previous border nodes failed before they passed them on.
	recentChangeAge  = 10 * time.Second
	maxRecentChanges = 512
)

// runRemoteSync compares tables with the other data centres in turn while the node is a border node.
func (m *Membership) runRemoteSync(ctx context.Context) {
	for round := 0; ; round++ {
		names := m.otherDataCentres()
		next := minRemoteSyncInterval
		if len(names) > 0 {
			next = max(minRemoteSyncInterval, minDataCentreSyncInterval/time.Duration(len(names)))
		}
		if !wait.For(ctx, next) {
			return
		}
		rank, border := m.local.BorderRank(m.config.Self.ID)
		// The border nodes may be the unresponsive members whose failure this node cannot get confirmed, so
		// this node compares tables in their place.
		border = border || m.hasUnconfirmedSuspicion()
		if border && len(names) > 0 && m.synced.Load() {
			d := m.dataCentre(names[round%len(names)])
			turn := rank + round/len(names)
			m.workers.start(func(ctx context.Context) { m.syncDataCentre(ctx, d, turn) })
		}
	}
}

// syncDataCentre compares tables with one border node of the data centre, or with another of its nodes
// when that one does not answer.
func (m *Membership) syncDataCentre(ctx context.Context, d *DataCentre, turn int) {
	for _, peer := range d.syncCandidates(turn) {
		response, err := m.syncWith(ctx, peer.PeerAddr, remoteSyncTimeout)
		if err == nil {
			d.recordContact(time.Now())
			m.reconcile(peer.PeerAddr, response)
			return
		}
	}
}

// syncCandidates returns the border nodes, beginning with the one whose turn it is, and a random member.
// For an evicted data centre it returns its last known peers.
func (d *DataCentre) syncCandidates(turn int) []instance.Record {
	ring, borders := d.ringAndBorders()
	if len(borders) == 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return slices.Clone(d.lastPeers)
	}
	first := turn % len(borders)
	peers := slices.Concat(borders[first:], borders[:first])
	return append(peers, ring[rand.IntN(len(ring))])
}

func (m *Membership) otherDataCentres() []string {
	names := m.fleet.DataCentres()
	return slices.DeleteFunc(names, func(name string) bool { return name == m.local.Name })
}

// borderTargets returns one border node of each other data centre when this node is a border node.
func (m *Membership) borderTargets() []instance.Record {
	if !m.IsBorderNode() {
		return nil
	}
	var peers []instance.Record
	for _, name := range m.otherDataCentres() {
		if peer, ok := m.borderTarget(name); ok {
			peers = append(peers, peer)
		}
	}
	return peers
}

// borderTarget returns the border node of another data centre to which this node passes updates. The two border
// nodes of a data centre choose different ones.
func (m *Membership) borderTarget(dataCentre string) (instance.Record, bool) {
	borders := m.dataCentre(dataCentre).BorderNodes()
	if len(borders) == 0 {
		return instance.Record{}, false
	}
	rank, _ := m.local.BorderRank(m.config.Self.ID)
	return borders[rank%len(borders)], true
}

// checkBorderRole repeats the recent changes to the other data centres when this node has become a
// border node.
func (m *Membership) checkBorderRole() {
	border := m.IsBorderNode()
	if was := m.wasBorder.Swap(border); was || !border {
		return
	}
	recent := m.recent.since(time.Now().Add(-recentChangeAge))
	recent = slices.DeleteFunc(recent, func(r instance.Record) bool { return r.DataCentre != m.local.Name })
	for _, peer := range m.borderTargets() {
		m.outbox.sendTo(peer, recent, nil)
	}
}

// recentChanges holds the latest changes that this node learned.
type recentChanges struct {
	mu      sync.Mutex
	changes []recentChange
}

type recentChange struct {
	record instance.Record
	at     time.Time
}

func (c *recentChanges) add(r instance.Record, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changes) >= maxRecentChanges {
		c.changes = slices.Delete(c.changes, 0, maxRecentChanges/2)
	}
	c.changes = append(c.changes, recentChange{r, at})
}

func (c *recentChanges) since(start time.Time) []instance.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = slices.DeleteFunc(c.changes, func(change recentChange) bool { return change.at.Before(start) })
	records := make([]instance.Record, len(c.changes))
	for i, change := range c.changes {
		records[i] = change.record
	}
	return records
}

// staleContacts lists the data centres without recent contact, for which this node asks its peers for a
// later contact.
func (m *Membership) staleContacts() []Contact {
	var stale []Contact
	now := time.Now()
	for _, name := range m.otherDataCentres() {
		if age := m.dataCentre(name).contactAge(now); age > staleContactAge && len(stale) < maxDataCentres {
			stale = append(stale, Contact{DataCentre: name, Age: min(age, maxAge)})
		}
	}
	return stale
}

// fresherContacts returns the contacts of this node that are later than those in a peer's list.
func (m *Membership) fresherContacts(stale []Contact) []Contact {
	var fresher []Contact
	now := time.Now()
	for _, c := range stale {
		d, ok := m.dataCentres.Get(c.DataCentre)
		if !ok || d == m.local {
			continue
		}
		if age := d.contactAge(now) + contactAgeIncrement; age < c.Age {
			fresher = append(fresher, Contact{DataCentre: c.DataCentre, Age: age})
		}
	}
	return fresher
}

// mergeContacts takes over the later contacts with data centres that a peer reported.
func (m *Membership) mergeContacts(contacts []Contact) {
	now := time.Now()
	for _, c := range contacts {
		if d, ok := m.dataCentres.Get(c.DataCentre); ok {
			d.recordContact(now.Add(-c.Age))
		}
	}
}

// evictUnreachable removes the members of data centres without contact for unreachableRetention.
func (m *Membership) evictUnreachable(now time.Time) {
	for _, name := range m.otherDataCentres() {
		d := m.dataCentre(name)
		if d.contactAge(now) < unreachableRetention || !d.evict() {
			continue
		}
		for _, r := range m.fleet.DataCentre(name) {
			m.fleet.Remove(r.ID)
		}
	}
}

// evict marks the data centre as evicted and keeps the peers through which it may be readmitted. It
// reports whether it was not evicted before.
func (d *DataCentre) evict() bool {
	ring, borders := d.ringAndBorders()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evicted {
		return false
	}
	d.evicted = true
	d.lastPeers = slices.Clone(borders)
	if len(ring) > 0 {
		d.lastPeers = append(d.lastPeers, ring[rand.IntN(len(ring))])
	}
	return true
}

func (d *DataCentre) isEvicted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evicted
}
