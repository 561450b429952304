// Package datacentre describes the zones of the system and keeps each node's table of all instances
// up to date. A DataCentre is one zone with its ring of members and its border nodes. Membership
// holds the part of one node: it compares tables with its neighbours, spreads changes, and finds
// failed members of its own data centre.
//
// # When a member is declared failed
//
// Only the predecessor on the ring (or a member before it when several neighbours are silent) judges
// a member. It declares a failure when all of this holds:
//
//   - the member did not answer a Sync, and then no ping of two rounds, each of them direct and
//     through several other members, each repeated once because a single message may be lost;
//   - at least one of those others answered that it could not reach the member either. A node that
//     reaches nobody judges nobody, so one that was cut off declares no one failed when it is back;
//   - no message of the member arrived meanwhile by any way. A link that is cut in one direction
//     therefore declares nobody: the others still reach the member;
//   - the judge itself did not stand still meanwhile. After a pause it compares tables first.
//
// A declaration counts for one incarnation and raises the state version by one. A member that lives
// refutes it with a higher state version, and each refutation doubles the silence that is needed to
// declare this member again. Delayed, repeated and reordered messages change nothing, because a
// record replaces another only when it is newer (instance.Record.Newer).
package datacentre

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// borderCount is the number of border nodes of a data centre: one may fail without a gap.
const borderCount = 2

// DataCentre is one zone: its members in ring order and its border nodes, derived from the fleet.
// It is safe for concurrent use.
type DataCentre struct {
	Name  string
	fleet *instance.Fleet

	mu          sync.Mutex
	built       bool
	changes     uint64 // of the fleet when ring and borders were built
	ring        []instance.Record
	borders     []instance.Record
	lastContact time.Time
	repairing   bool
	forgotten   bool
	remembered  []instance.Record // peers of a forgotten data centre
}

// newDataCentre returns a data centre of which no contact is known. A peer tells the real age within
// unknownGrace; until then the node must not look as if it had reached the data centre, since nodes
// that start would otherwise renew the contact with an unreachable one.
func newDataCentre(name string, fleet *instance.Fleet, now time.Time) *DataCentre {
	return &DataCentre{Name: name, fleet: fleet, lastContact: now.Add(unknownGrace - unreachableRetention)}
}

// Ring returns the members ordered by the hash of their ID. The slice must not be modified.
func (d *DataCentre) Ring() []instance.Record {
	ring, _ := d.view()
	return ring
}

// Borders returns the members through which the data centre exchanges with the others: those ranked
// first by the hash of data centre and ID. The slice must not be modified.
func (d *DataCentre) Borders() []instance.Record {
	_, borders := d.view()
	return borders
}

func (d *DataCentre) view() (ring, borders []instance.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.fleet.ChangeCount(d.Name)
	if !d.built || changes != d.changes {
		members := d.fleet.DataCentre(d.Name)
		d.ring = orderBy(members, ringHash)
		d.borders = orderBy(members, func(id instance.ID) uint64 { return rendezvous(d.Name, id) })
		d.borders = slices.Clip(d.borders[:min(borderCount, len(d.borders))])
		d.built, d.changes = true, changes
	}
	return d.ring, d.borders
}

// Successors returns up to count members that follow id on the ring. id need not be a member.
func (d *DataCentre) Successors(id instance.ID, count int) []instance.Record {
	ring := d.Ring()
	start, found := position(ring, id)
	others := len(ring)
	if found {
		start++
		others--
	}
	following := make([]instance.Record, 0, min(count, others))
	for i := range min(count, others) {
		following = append(following, ring[(start+i)%len(ring)])
	}
	return following
}

// Fingers returns the members at distances 1, 2, 4, 8 and so on after id on the ring.
func (d *DataCentre) Fingers(id instance.ID) []instance.Record {
	following := d.Successors(id, len(d.Ring()))
	var fingers []instance.Record
	for distance := 1; distance <= len(following); distance *= 2 {
		fingers = append(fingers, following[distance-1])
	}
	return fingers
}

// BorderRank returns the rank of id among the border nodes and whether it is one.
func (d *DataCentre) BorderRank(id instance.ID) (int, bool) {
	for rank, r := range d.Borders() {
		if r.ID == id {
			return rank, true
		}
	}
	return 0, false
}

// contact notes that the data centre was reached at the time.
func (d *DataCentre) contact(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.lastContact) {
		d.lastContact = at
	}
	if time.Since(at) < returnAge {
		d.forgotten = false
	}
}

// silence returns the time since the last contact.
func (d *DataCentre) silence(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastContact)
}

// beginRepair reports whether no other repair of the data centre runs.
func (d *DataCentre) beginRepair() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.repairing {
		return false
	}
	d.repairing = true
	return true
}

func (d *DataCentre) endRepair() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repairing = false
}

// Buckets returns the digests of the parts of the data centre.
func (d *DataCentre) Buckets() []uint64 {
	sums := make([]uint64, buckets)
	for _, r := range d.fleet.DataCentre(d.Name) {
		sums[bucketOf(r.ID)] ^= r.Digest()
	}
	return sums
}

func bucketOf(id instance.ID) int { return int(ringHash(id) % buckets) }

func ringHash(id instance.ID) uint64 { return xxhash.Sum64String(string(id)) }

func rendezvous(dataCentre string, id instance.ID) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + string(id))
}

func orderBy(members []instance.Record, hash func(instance.ID) uint64) []instance.Record {
	type ranked struct {
		hash   uint64
		record instance.Record
	}
	order := make([]ranked, len(members))
	for i, r := range members {
		order[i] = ranked{hash(r.ID), r}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.record.ID, b.record.ID))
	})
	sorted := make([]instance.Record, len(order))
	for i, o := range order {
		sorted[i] = o.record
	}
	return sorted
}

func position(ring []instance.Record, id instance.ID) (int, bool) {
	return slices.BinarySearchFunc(ring, id, func(r instance.Record, id instance.ID) int {
		return cmp.Or(cmp.Compare(ringHash(r.ID), ringHash(id)), cmp.Compare(r.ID, id))
	})
}
