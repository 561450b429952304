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
	// exchangeStep is the least time between two exchanges of a border node. With 16 other data centres
	// two of them are compared by four border nodes, each every 16 s. Half of it cost a border node
	// 4.2 KB/s at rest, which left too little for releases.
	exchangeStep = time.Second
	// exchangePeriod is the least time between two exchanges with the same data centre.
	exchangePeriod = 2 * time.Second
	// exchangeTimeout covers two distant regions.
	exchangeTimeout = time.Second
	// staleAge is the age from which a node asks its peers for a later contact. In normal operation it
	// asks once in that time, so that the list costs nothing.
	staleAge = 10 * time.Minute
	// contactHop is added to an age at each hop. It covers the way of the message and the rounding to
	// seconds; without it the age of an unreachable data centre would never grow as nodes pass it on.
	contactHop = 2 * time.Second
	// unreachableRetention is how long the members of an unreachable data centre are kept.
	unreachableRetention = time.Hour
	// unknownGrace is how long a data centre is kept whose last contact nobody has told.
	unknownGrace = 5 * time.Minute
	// returnAge is the age of a contact that brings a forgotten data centre back. It is well below the
	// retention, so that nodes that forget it at different moments do not return it to each other.
	returnAge = 20 * time.Minute
	// recentAge and recentCount bound the changes that a new border node repeats to the other data
	// centres, in case the earlier ones were lost before they passed them on.
	recentAge   = 10 * time.Second
	recentCount = 512
)

// runBorder exchanges with the other data centres in turn while the node is a border node.
func (m *Membership) runBorder(ctx context.Context) {
	for round := 0; ; round++ {
		names := m.otherCentres()
		next := exchangeStep
		if len(names) > 0 {
			next = max(exchangeStep, exchangePeriod/time.Duration(len(names)))
		}
		if !wait.For(ctx, next) {
			return
		}
		rank, border := m.home.BorderRank(m.config.Self.ID)
		// The border nodes may be the members whose failure this node cannot get confirmed.
		border = border || m.hasUnconfirmed()
		if border && len(names) > 0 && m.settled.Load() {
			d := m.centre(names[round%len(names)])
			turn := rank + round/len(names)
			m.workers.start(func(ctx context.Context) { m.exchange(ctx, d, turn) })
		}
	}
}

// exchange compares tables with one border node of the data centre, or with another one of its nodes
// when that does not answer.
func (m *Membership) exchange(ctx context.Context, d *DataCentre, turn int) {
	for _, peer := range d.exchangePeers(turn) {
		response, err := m.syncWith(ctx, peer.PeerAddr, exchangeTimeout)
		if err == nil {
			d.contact(time.Now())
			m.reconcile(peer.PeerAddr, response)
			return
		}
	}
}

// exchangePeers returns a border node by turn, the other one, and a random member. For a forgotten
// data centre these are the last ones known.
func (d *DataCentre) exchangePeers(turn int) []instance.Record {
	ring, borders := d.view()
	if len(borders) == 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return slices.Clone(d.remembered)
	}
	first := turn % len(borders)
	peers := slices.Concat(borders[first:], borders[:first])
	return append(peers, ring[rand.IntN(len(ring))])
}

func (m *Membership) otherCentres() []string {
	names := m.fleet.DataCentres()
	return slices.DeleteFunc(names, func(name string) bool { return name == m.home.Name })
}

// borderTargets returns one border node of each other data centre when this node is a border node.
// The two border nodes of a data centre choose different ones.
func (m *Membership) borderTargets() []instance.Record {
	rank, border := m.home.BorderRank(m.config.Self.ID)
	if !border {
		return nil
	}
	var peers []instance.Record
	for _, name := range m.otherCentres() {
		if borders := m.centre(name).Borders(); len(borders) > 0 {
			peers = append(peers, borders[rank%len(borders)])
		}
	}
	return peers
}

// noteRole repeats the recent changes to the other data centres when this node becomes a border node.
func (m *Membership) noteRole() {
	border := m.IsBorder()
	if was := m.wasBorder.Swap(border); was || !border {
		return
	}
	recent := m.recent.since(time.Now().Add(-recentAge))
	recent = slices.DeleteFunc(recent, func(r instance.Record) bool { return r.DataCentre != m.home.Name })
	for _, peer := range m.borderTargets() {
		m.outbox.sendTo(peer, recent, nil)
	}
}

// recentChanges holds the last changes that this node learned.
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
	if len(c.changes) >= recentCount {
		c.changes = slices.Delete(c.changes, 0, recentCount/2)
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

// staleContacts lists the data centres of which this node asks its peers when they were reached.
func (m *Membership) staleContacts() []Contact {
	var stale []Contact
	now := time.Now()
	for _, name := range m.otherCentres() {
		if age := m.centre(name).silence(now); age > staleAge && len(stale) < maxDataCentres {
			stale = append(stale, Contact{DataCentre: name, Age: min(age, maxAge)})
		}
	}
	return stale
}

// fresherContacts answers the list of a peer with the contacts that are later here.
func (m *Membership) fresherContacts(stale []Contact) []Contact {
	var fresher []Contact
	now := time.Now()
	for _, c := range stale {
		d, ok := m.centres.Get(c.DataCentre)
		if !ok || d == m.home {
			continue
		}
		if age := d.silence(now) + contactHop; age < c.Age {
			fresher = append(fresher, Contact{DataCentre: c.DataCentre, Age: age})
		}
	}
	return fresher
}

// takeContacts learns from a peer when data centres were reached.
func (m *Membership) takeContacts(contacts []Contact) {
	now := time.Now()
	for _, c := range contacts {
		if d, ok := m.centres.Get(c.DataCentre); ok {
			d.contact(now.Add(-c.Age))
		}
	}
}

// forgetUnreachable removes the members of data centres without contact for unreachableRetention.
func (m *Membership) forgetUnreachable(now time.Time) {
	for _, name := range m.otherCentres() {
		d := m.centre(name)
		if d.silence(now) < unreachableRetention || !d.forget() {
			continue
		}
		for _, r := range m.fleet.DataCentre(name) {
			m.fleet.Remove(r.ID)
		}
	}
}

// forget marks the data centre as forgotten and keeps the peers through which it may return. It
// reports whether it was not yet forgotten.
func (d *DataCentre) forget() bool {
	ring, borders := d.view()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forgotten {
		return false
	}
	d.forgotten = true
	d.remembered = slices.Clone(borders)
	if len(ring) > 0 {
		d.remembered = append(d.remembered, ring[rand.IntN(len(ring))])
	}
	return true
}

func (d *DataCentre) isForgotten() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.forgotten
}
