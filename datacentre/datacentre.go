// Package datacentre implements the membership protocol of the nodes: it keeps each node's table of all
// instances up to date without a central service; the store only helps nodes to find each other. A
// DataCentre is one zone with its ring of members and its border nodes, which connect it to the other
// data centres. Membership is the local node's side of the protocol: it spreads changes by pushes,
// repairs differences by comparing digests of the tables with its neighbours and other data centres, and
// detects failed members of its own data centre.
//
// # When a member is declared failed
//
// Only the predecessor on the ring (or a member before it when several neighbours are unresponsive)
// checks a member. It declares a failure when all of this holds:
//
//   - the member did not answer a Sync, and then no ping of two rounds. Each round pings it directly and
//     through several other members, each ping repeated once because a single message may be lost;
//   - enough of those members (confirmationPercent, or one after minorityConfirmDelay) answered that they
//     could not reach the member either. A node that gets no such answer declares no one failed, so one
//     that was cut off declares no failures when it is back. Only a fleet of two needs no such answer;
//   - no message of the member arrived meanwhile by any path. A link that fails in one direction
//     therefore causes no declaration: the other members still reach the member;
//   - the checking node was not paused meanwhile. After a pause it compares tables first.
//
// A declaration applies to one incarnation and raises the state version by one. A live member refutes
// it with a higher state version, and each refutation doubles the timeout of the pings before this
// member is declared failed again. Delayed, duplicated and reordered messages have no effect, because a
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

// borderCount is the number of border nodes of a data centre: one may fail without an interruption.
const borderCount = 2

// DataCentre is one zone: its members in ring order and its border nodes, derived from the fleet. It is
// safe for concurrent use.
type DataCentre struct {
	Name  string
	fleet *instance.Fleet

	mu          sync.Mutex
	built       bool
	changes     uint64 // change count of the fleet when ring and borders were built
	ring        []instance.Record
	borders     []instance.Record
	lastContact time.Time
	repairing   bool
	evicted     bool
	lastPeers   []instance.Record // peers of an evicted data centre
}

// newDataCentre returns a data centre whose last contact is unknown. lastContact is set so that it is
// evicted after unknownContactGrace unless a peer reports a later contact. It must not look just contacted,
// since nodes that start would otherwise keep renewing the contact with an unreachable data centre.
func newDataCentre(name string, fleet *instance.Fleet, now time.Time) *DataCentre {
	return &DataCentre{Name: name, fleet: fleet, lastContact: now.Add(unknownContactGrace - unreachableRetention)}
}

// Ring returns the members ordered by the hash of their ID. The slice must not be modified.
func (d *DataCentre) Ring() []instance.Record {
	ring, _ := d.ringAndBorders()
	return ring
}

// BorderNodes returns the border nodes, through which the data centre exchanges updates with the others: the
// members ranked first by the rendezvous hash of data centre and ID. The slice must not be modified.
func (d *DataCentre) BorderNodes() []instance.Record {
	_, borders := d.ringAndBorders()
	return borders
}

// ringAndBorders returns the ring and the border nodes, rebuilt when the members have changed.
func (d *DataCentre) ringAndBorders() (ring, borders []instance.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.fleet.ChangeCount(d.Name)
	if !d.built || changes != d.changes {
		members := d.fleet.DataCentre(d.Name)
		d.ring = sortByHash(members, ringHash)
		d.borders = sortByHash(members, func(id instance.ID) uint64 { return rendezvousHash(d.Name, id) })
		d.borders = slices.Clip(d.borders[:min(borderCount, len(d.borders))])
		d.built, d.changes = true, changes
	}
	return d.ring, d.borders
}

// Successors returns up to count members that follow id on the ring. id need not be a member.
func (d *DataCentre) Successors(id instance.ID, count int) []instance.Record {
	ring := d.Ring()
	start, found := ringPosition(ring, id)
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
	for rank, r := range d.BorderNodes() {
		if r.ID == id {
			return rank, true
		}
	}
	return 0, false
}

// recordContact records that the data centre was reached at the given time. A recent contact readmits an
// evicted data centre.
func (d *DataCentre) recordContact(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.lastContact) {
		d.lastContact = at
	}
	if time.Since(at) < maxReadmitAge {
		d.evicted = false
	}
}

// contactAge returns the time since the last contact.
func (d *DataCentre) contactAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastContact)
}

// beginRepair marks a repair of the data centre as running and reports whether none was running before.
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

// BucketDigests returns the digests of the buckets of the data centre.
func (d *DataCentre) BucketDigests() []uint64 {
	sums := make([]uint64, bucketCount)
	for _, r := range d.fleet.DataCentre(d.Name) {
		sums[bucketOf(r.ID)] ^= r.Digest()
	}
	return sums
}

func bucketOf(id instance.ID) int { return int(ringHash(id) % bucketCount) }

func ringHash(id instance.ID) uint64 { return xxhash.Sum64String(string(id)) }

func rendezvousHash(dataCentre string, id instance.ID) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + string(id))
}

func sortByHash(members []instance.Record, hash func(instance.ID) uint64) []instance.Record {
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

func ringPosition(ring []instance.Record, id instance.ID) (int, bool) {
	return slices.BinarySearchFunc(ring, id, func(r instance.Record, id instance.ID) int {
		return cmp.Or(cmp.Compare(ringHash(r.ID), ringHash(id)), cmp.Compare(r.ID, id))
	})
}
